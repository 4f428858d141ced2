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
import org.banyancove.gateway.duty.SharedStateVersion;

/**
 * Writes and reads the messages between gateways, in binary form: parsing them as JSON
 * would take a large part of the processor time of a small VM.
 */
final class PeerMessageCodec {

	private static final byte REPORT = 1;

	private static final byte SUMMARY = 2;

	private static final byte RELAY = 3;

	private static final byte SUSPECTS = 4;

	private static final byte ORIGINS = 5;

	private static final byte ORIGIN_QUERY = 6;

	private static final byte ORIGIN_REPLY = 7;

	private static final int INITIAL_BYTES = 2048;

	byte[] write(PeerMessage message) {
		ByteBuf out = Unpooled.buffer(INITIAL_BYTES);
		switch (message) {
			case PeerMessage.Report report -> write(out, report.report());
			case PeerMessage.Summary summary -> write(out, summary.summary());
			case PeerMessage.Relay relay -> {
				out.writeByte(RELAY);
				RelayedRecordsCodec.write(out, relay.records());
			}
			case PeerMessage.Suspects suspects -> {
				out.writeByte(SUSPECTS);
				SuspectReportsCodec.write(out, suspects.reports());
			}
			case StreamOriginMessage origins -> {
				out.writeByte(kindOf(origins));
				StreamOriginCodec.write(out, origins);
			}
		}
		return ByteBufUtil.getBytes(out);
	}

	private static byte kindOf(StreamOriginMessage message) {
		return switch (message) {
			case StreamOriginMessage.Replication replication -> ORIGINS;
			case StreamOriginMessage.Query query -> ORIGIN_QUERY;
			case StreamOriginMessage.Reply reply -> ORIGIN_REPLY;
		};
	}

	private static void write(ByteBuf out, GatewayReport report) {
		out.writeByte(REPORT);
		out.writeLong(report.incarnation());
		BinaryFields.writeText(out, report.dataCenter().value());
		out.writeBoolean(report.holdsLease());
		writeSharedState(out, report.sharedState());
		TrafficTotalsCodec.write(out, report.traffic());
	}

	private static void write(ByteBuf out, FleetSummary summary) {
		out.writeByte(SUMMARY);
		out.writeLong(summary.incarnation());
		String group = summary.group();
		out.writeBoolean(group != null);
		BinaryFields.writeText(out, (group != null) ? group : "");
		out.writeLong(summary.leaseHolder());
		writeSharedState(out, summary.sharedState());
		BinaryFields.writeVarint(out, summary.readers().size());
		summary.readers().forEach(out::writeLong);
		BinaryFields.writeVarint(out, summary.presence().size());
		for (DataCenterPresence presence : summary.presence()) {
			BinaryFields.writeText(out, presence.dataCenter().value());
			BinaryFields.writeVarint(out, presence.gateways());
			BinaryFields.writeVarint(out, presence.reachable());
			out.writeBoolean(presence.responding());
		}
		TrafficTotalsCodec.write(out, summary.traffic());
	}

	private static void writeSharedState(ByteBuf out, SharedStateVersion sharedState) {
		out.writeBoolean(sharedState.readsStore());
		out.writeLong(sharedState.endpointsNextOffset());
		out.writeLong(sharedState.endpointsDigest());
		BinaryFields.writeVarint(out, sharedState.endpointsAge().toMillis());
		out.writeLong(sharedState.configurationOffset());
	}

	/**
	 * Reads a message.
	 * @param datagram the content of the datagram
	 * @return the message
	 * @throws BanyancoveException if the datagram cannot be decoded
	 */
	PeerMessage read(byte[] datagram) {
		ByteBuf in = Unpooled.wrappedBuffer(datagram);
		try {
			byte kind = in.readByte();
			return switch (kind) {
				case REPORT -> new PeerMessage.Report(readReport(in));
				case SUMMARY -> new PeerMessage.Summary(readSummary(in));
				case RELAY -> new PeerMessage.Relay(RelayedRecordsCodec.read(in));
				case SUSPECTS -> new PeerMessage.Suspects(SuspectReportsCodec.read(in));
				case ORIGINS -> StreamOriginCodec.readReplication(in);
				case ORIGIN_QUERY -> StreamOriginCodec.readQuery(in);
				case ORIGIN_REPLY -> StreamOriginCodec.readReply(in);
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
		SharedStateVersion sharedState = readSharedState(in);
		return new GatewayReport(incarnation, dataCenter, TrafficTotalsCodec.read(in), holdsLease, sharedState);
	}

	private static FleetSummary readSummary(ByteBuf in) {
		long incarnation = in.readLong();
		boolean hasGroup = in.readBoolean();
		String group = BinaryFields.readText(in);
		long leaseHolder = in.readLong();
		SharedStateVersion sharedState = readSharedState(in);
		List<Long> readers = new ArrayList<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			readers.add(in.readLong());
		}
		List<DataCenterPresence> presence = new ArrayList<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			presence.add(readPresence(in));
		}
		return new FleetSummary(incarnation, hasGroup ? group : null, presence, TrafficTotalsCodec.read(in),
				leaseHolder, sharedState, readers);
	}

	private static DataCenterPresence readPresence(ByteBuf in) {
		DataCenterName dataCenter = new DataCenterName(BinaryFields.readText(in));
		int gateways = Math.toIntExact(BinaryFields.readVarint(in));
		int reachable = Math.toIntExact(BinaryFields.readVarint(in));
		return new DataCenterPresence(dataCenter, gateways, reachable, in.readBoolean());
	}

	private static SharedStateVersion readSharedState(ByteBuf in) {
		return new SharedStateVersion(in.readBoolean(), in.readLong(), in.readLong(),
				Duration.ofMillis(BinaryFields.readVarint(in)), in.readLong());
	}

}
