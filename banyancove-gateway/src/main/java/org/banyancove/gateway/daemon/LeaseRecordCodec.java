package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.banyancove.core.AccountName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.duty.LeaseRecord;
import org.banyancove.gateway.duty.UsageReport;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutReport;

/**
 * Writes and reads the records of the leases' topic.
 */
final class LeaseRecordCodec {

	private final ObjectMapper mapper = new ObjectMapper();

	byte[] write(LeaseRecord record) {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("holder", record.holder());
		root.put("incarnation", record.incarnation());
		root.put("fence", record.fence());
		var reports = root.putArray("reports");
		for (UsageReport report : record.reports()) {
			ObjectNode entry = reports.addObject();
			entry.put("window", report.window());
			putCounts(entry.putObject("counts"), report.counts());
		}
		root.put("rollouts", rollouts(record.rollouts()));
		return bytes(root);
	}

	private static byte[] rollouts(List<Rollout> rollouts) {
		ByteBuf out = Unpooled.buffer();
		RolloutReportCodec.write(out, new RolloutReport(rollouts, Map.of()));
		return ByteBufUtil.getBytes(out);
	}

	private static List<Rollout> readRollouts(JsonNode node) {
		if (!node.isTextual()) {
			return List.of();
		}
		try {
			return RolloutReportCodec.read(Unpooled.wrappedBuffer(node.binaryValue())).rollouts();
		}
		catch (IOException | IndexOutOfBoundsException | IllegalArgumentException ex) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "rollouts unreadable", ex);
		}
	}

	LeaseRecord read(byte[] value) {
		JsonNode root = tree(value);
		List<UsageReport> reports = new ArrayList<>();
		root.path("reports")
			.forEach((entry) -> reports
				.add(new UsageReport(entry.path("window").asLong(), counts(entry.path("counts")))));
		return new LeaseRecord(root.path("holder").asText(), root.path("incarnation").asLong(),
				root.path("fence").asLong(), reports, readRollouts(root.path("rollouts")));
	}

	private static void putCounts(ObjectNode node, Map<AccountName, Long> counts) {
		counts.forEach((account, count) -> node.put(account.value(), count));
	}

	private static Map<AccountName, Long> counts(JsonNode node) {
		Map<AccountName, Long> counts = new HashMap<>();
		node.properties().forEach((entry) -> counts.put(new AccountName(entry.getKey()), entry.getValue().asLong()));
		return counts;
	}

	private JsonNode tree(byte[] value) {
		try {
			return this.mapper.readTree(value);
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "record is not valid JSON: " + ex.getMessage(),
					ex);
		}
	}

	private byte[] bytes(JsonNode node) {
		try {
			return this.mapper.writeValueAsBytes(node);
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.INTERNAL, "record cannot be written: " + ex.getMessage(), ex);
		}
	}

}
