package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.core.AccountName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.LeaseRecord;
import org.banyancove.gateway.duty.UsageReport;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;

/**
 * Writes and reads what gateways tell each other and keep in shared state.
 */
final class ReportCodec {

	private final ObjectMapper mapper = new ObjectMapper();

	private final GatewayReportCodec reports = new GatewayReportCodec();

	byte[] write(GatewayReport report) {
		return this.reports.write(report);
	}

	byte[] write(RelayedRecords relayed) {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("topic", relayed.topic().name());
		root.put("outageMillis", relayed.outageMillis());
		var records = root.putArray("records");
		for (TopicRecord entry : relayed.records()) {
			records.addObject().put("offset", entry.offset()).put("key", entry.key()).put("value", entry.value());
		}
		return bytes(root);
	}

	/**
	 * Reads what another gateway sent.
	 * @param value the datagram
	 * @return the message
	 * @throws BanyancoveException if it cannot be read
	 */
	PeerMessage readMessage(byte[] value) {
		if (value.length > 0 && value[0] == GatewayReportCodec.MARK) {
			return new PeerMessage.Report(this.reports.read(value));
		}
		return new PeerMessage.Relay(relayed(tree(value)));
	}

	private static RelayedRecords relayed(JsonNode root) {
		List<TopicRecord> records = new ArrayList<>();
		try {
			for (JsonNode entry : root.path("records")) {
				JsonNode content = entry.path("value");
				records.add(new TopicRecord(entry.path("offset").asLong(), entry.path("key").asText(),
						content.isNull() ? null : content.binaryValue()));
			}
			JsonNode outage = root.path("outageMillis");
			return new RelayedRecords(Topic.valueOf(root.path("topic").asText()), records,
					outage.isNumber() ? outage.asLong() : null);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "relayed records unreadable", ex);
		}
	}

	byte[] write(LeaseRecord record) {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("incarnation", record.incarnation());
		root.put("fence", record.fence());
		var reports = root.putArray("reports");
		for (UsageReport report : record.reports()) {
			ObjectNode entry = reports.addObject();
			entry.put("window", report.window());
			putCounts(entry.putObject("counts"), report.counts());
		}
		return bytes(root);
	}

	LeaseRecord readLease(byte[] value) {
		JsonNode root = tree(value);
		List<UsageReport> reports = new ArrayList<>();
		root.path("reports")
			.forEach((entry) -> reports
				.add(new UsageReport(entry.path("window").asLong(), counts(entry.path("counts")))));
		return new LeaseRecord(root.path("incarnation").asLong(), root.path("fence").asLong(), reports);
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
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "record is no JSON: " + ex.getMessage(), ex);
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
