package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.duty.DataCenterPresence;
import org.banyancove.gateway.duty.FleetSummary;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.KnownState;

/**
 * Writes and reads what gateways send each other, in binary form: as JSON, reading it
 * takes a large part of a small VM's processor time.
 */
final class PeerMessageCodec {

	private static final byte REPORT = 1;

	private static final byte SUMMARY = 2;

	private static final byte RELAY = 3;

	private static final int INITIAL_BYTES = 2048;

	byte[] write(PeerMessage message) {
		ByteBuf out = Unpooled.buffer(INITIAL_BYTES);
		switch (message) {
			case PeerMessage.Report report -> write(out, report.report());
			case PeerMessage.Summary summary -> write(out, summary.summary());
			case PeerMessage.Relay relay -> {
				out.writeByte(RELAY);
				RelayedRecordsCodec.write(out, relay.relayed());
			}
		}
		return ByteBufUtil.getBytes(out);
	}

	private static void write(ByteBuf out, GatewayReport report) {
		out.writeByte(REPORT);
		out.writeLong(report.incarnation());
		BinaryFields.writeText(out, report.dataCenter().value());
		out.writeBoolean(report.holdsLease());
		writeKnown(out, report.known());
		TrafficTotalsCodec.write(out, report.traffic());
	}

	private static void write(ByteBuf out, FleetSummary summary) {
		out.writeByte(SUMMARY);
		out.writeLong(summary.incarnation());
		String group = summary.group();
		out.writeBoolean(group != null);
		BinaryFields.writeText(out, (group != null) ? group : "");
		out.writeLong(summary.leaseHolder());
		writeKnown(out, summary.known());
		BinaryFields.writeNumber(out, summary.readers().size());
		summary.readers().forEach(out::writeLong);
		BinaryFields.writeNumber(out, summary.presence().size());
		for (DataCenterPresence part : summary.presence()) {
			BinaryFields.writeText(out, part.dataCenter().value());
			BinaryFields.writeNumber(out, part.gateways());
			BinaryFields.writeNumber(out, part.reachable());
			out.writeBoolean(part.responding());
		}
		TrafficTotalsCodec.write(out, summary.traffic());
	}

	private static void writeKnown(ByteBuf out, KnownState known) {
		out.writeBoolean(known.reads());
		out.writeLong(known.endpointsNext());
		out.writeLong(known.endpointsDigest());
		BinaryFields.writeNumber(out, known.endpointsAge().toMillis());
		out.writeLong(known.configurationOffset());
	}

	/**
	 * Reads a message.
	 * @param datagram the datagram
	 * @return the message
	 * @throws BanyancoveException if it cannot be read
	 */
	PeerMessage read(byte[] datagram) {
		ByteBuf in = Unpooled.wrappedBuffer(datagram);
		try {
			byte kind = in.readByte();
			return switch (kind) {
				case REPORT -> new PeerMessage.Report(readReport(in));
				case SUMMARY -> new PeerMessage.Summary(readSummary(in));
				case RELAY -> new PeerMessage.Relay(RelayedRecordsCodec.read(in));
				default -> throw new IllegalArgumentException("kind is unknown: " + kind);
			};
		}
		catch (IndexOutOfBoundsException | IllegalArgumentException | ArithmeticException ex) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "peer's message unreadable", ex);
		}
	}

	private static GatewayReport readReport(ByteBuf in) {
		long incarnation = in.readLong();
		DataCenterName dataCenter = new DataCenterName(BinaryFields.readText(in));
		boolean holdsLease = in.readBoolean();
		KnownState known = readKnown(in);
		return new GatewayReport(incarnation, dataCenter, TrafficTotalsCodec.read(in), holdsLease, known);
	}

	private static FleetSummary readSummary(ByteBuf in) {
		long incarnation = in.readLong();
		boolean ofGroup = in.readBoolean();
		String group = BinaryFields.readText(in);
		long leaseHolder = in.readLong();
		KnownState known = readKnown(in);
		List<Long> readers = new ArrayList<>();
		for (int left = BinaryFields.readCount(in); left > 0; left--) {
			readers.add(in.readLong());
		}
		List<DataCenterPresence> presence = new ArrayList<>();
		for (int left = BinaryFields.readCount(in); left > 0; left--) {
			presence.add(readPresence(in));
		}
		return new FleetSummary(incarnation, ofGroup ? group : null, presence, TrafficTotalsCodec.read(in), leaseHolder,
				known, readers);
	}

	private static DataCenterPresence readPresence(ByteBuf in) {
		DataCenterName dataCenter = new DataCenterName(BinaryFields.readText(in));
		int gateways = Math.toIntExact(BinaryFields.readNumber(in));
		int reachable = Math.toIntExact(BinaryFields.readNumber(in));
		return new DataCenterPresence(dataCenter, gateways, reachable, in.readBoolean());
	}

	private static KnownState readKnown(ByteBuf in) {
		return new KnownState(in.readBoolean(), in.readLong(), in.readLong(),
				Duration.ofMillis(BinaryFields.readNumber(in)), in.readLong());
	}

}
