package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.KnownState;

/**
 * Writes and reads gateways' reports in binary form.
 * <p>
 * Each gateway gets a report of each other one. At 68 gateways, reading them as JSON
 * takes a large part of a small VM's processor time, and sending them a third of its
 * link. Names of client accounts stand once, and figures follow by their place.
 */
final class GatewayReportCodec {

	/** First byte of a report; no JSON text begins with it. */
	static final byte MARK = 1;

	private static final int INITIAL_BYTES = 2048;

	byte[] write(GatewayReport report) {
		ByteBuf out = Unpooled.buffer(INITIAL_BYTES);
		out.writeByte(MARK);
		out.writeLong(report.incarnation());
		writeText(out, report.zone().value());
		out.writeBoolean(report.holdsLease());
		writeKnown(out, report.known());
		List<AccountName> accounts = accounts(report);
		out.writeShort(accounts.size());
		for (AccountName account : accounts) {
			writeText(out, account.value());
			out.writeLong(Math.round(report.used().getOrDefault(account, 0.0)));
		}
		out.writeByte(report.counts().size());
		report.counts().forEach((window, counts) -> {
			out.writeLong(window);
			accounts.forEach((account) -> out.writeInt(Math.toIntExact(counts.getOrDefault(account, 0L))));
		});
		out.writeByte(report.work().size());
		report.work().forEach((service, millis) -> {
			writeText(out, service.value());
			out.writeInt((int) Math.round(millis));
		});
		out.writeShort(report.loads().size());
		report.loads().forEach((endpoint, load) -> {
			writeText(out, endpoint.value());
			out.writeShort(load.inFlight());
			out.writeInt((int) Math.min(load.unreadTokens(), Integer.MAX_VALUE));
		});
		return ByteBufUtil.getBytes(out);
	}

	private static List<AccountName> accounts(GatewayReport report) {
		Set<AccountName> accounts = new TreeSet<>(report.used().keySet());
		report.counts().values().forEach((counts) -> accounts.addAll(counts.keySet()));
		return List.copyOf(accounts);
	}

	private static void writeKnown(ByteBuf out, KnownState known) {
		out.writeBoolean(known.reads());
		out.writeLong(known.endpointsNext());
		out.writeLong(known.endpointsDigest());
		out.writeLong(known.configurationOffset());
	}

	private static void writeText(ByteBuf out, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		out.writeShort(bytes.length);
		out.writeBytes(bytes);
	}

	/**
	 * Reads a report.
	 * @param value the datagram
	 * @return the report
	 * @throws BanyancoveException if it cannot be read
	 */
	GatewayReport read(byte[] value) {
		try {
			return read(Unpooled.wrappedBuffer(value));
		}
		catch (IndexOutOfBoundsException | IllegalArgumentException ex) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "report unreadable", ex);
		}
	}

	private static GatewayReport read(ByteBuf in) {
		in.skipBytes(1);
		long incarnation = in.readLong();
		DataCenterName dataCenter = new DataCenterName(readText(in));
		boolean holdsLease = in.readBoolean();
		KnownState known = new KnownState(in.readBoolean(), in.readLong(), in.readLong(), in.readLong());
		List<AccountName> accounts = new ArrayList<>();
		Map<AccountName, Double> used = new HashMap<>();
		for (int left = in.readUnsignedShort(); left > 0; left--) {
			AccountName account = new AccountName(readText(in));
			accounts.add(account);
			used.put(account, (double) in.readLong());
		}
		Map<Long, Map<AccountName, Long>> counts = new HashMap<>();
		for (int left = in.readUnsignedByte(); left > 0; left--) {
			counts.put(in.readLong(), readCounts(in, accounts));
		}
		Map<ServiceName, Double> work = new HashMap<>();
		for (int left = in.readUnsignedByte(); left > 0; left--) {
			work.put(new ServiceName(readText(in)), (double) in.readInt());
		}
		Map<EndpointId, EndpointLoad> loads = new HashMap<>();
		for (int left = in.readUnsignedShort(); left > 0; left--) {
			loads.put(new EndpointId(readText(in)), new EndpointLoad(in.readUnsignedShort(), in.readInt()));
		}
		return new GatewayReport(incarnation, dataCenter, counts, used, work, loads, holdsLease, known);
	}

	private static Map<AccountName, Long> readCounts(ByteBuf in, List<AccountName> accounts) {
		Map<AccountName, Long> counts = new HashMap<>();
		for (AccountName account : accounts) {
			long count = in.readInt();
			if (count > 0) {
				counts.put(account, count);
			}
		}
		return counts;
	}

	private static String readText(ByteBuf in) {
		int length = in.readUnsignedShort();
		return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
	}

}
