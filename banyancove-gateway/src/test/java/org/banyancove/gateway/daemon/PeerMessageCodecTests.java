package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.duty.DataCenterPresence;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetSummary;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.LeaseRecord;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.duty.UsageReport;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.ObservedSlowdown;
import org.banyancove.gateway.quarantine.CrashObservation;
import org.banyancove.gateway.quarantine.SuspectReport;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.resumption.StreamOrigin;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.rollout.RolloutStage;
import org.banyancove.gateway.rollout.SampleKey;
import org.banyancove.gateway.rollout.VersionSamples;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PeerMessageCodecTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final TrafficTotals TRAFFIC = new TrafficTotals(Map.of(9L, Map.of(ACCOUNT, 3L)),
			Map.of(ACCOUNT, 5.0), Map.of(new ServiceName("service"), 7.0),
			Map.of(new EndpointId("e"), new EndpointLoad(2, 900)), RolloutReport.NONE,
			Map.of(new EndpointId("e"), new ObservedRateLimit(1.4, Duration.ofMillis(250)), new EndpointId("f"),
					new ObservedRateLimit(null, Duration.ZERO)),
			Map.of());

	private static final SharedStateVersion SHARED_STATE = new SharedStateVersion(true, 5, -9, Duration.ofMillis(350),
			2);

	private static final StreamKey STREAM = new StreamKey(5, -6);

	private static final KnownOrigin RECORD = new KnownOrigin(
			new StreamOrigin(new ServiceName("service"), "v1", new EndpointId("e")), KnownOrigin.Source.RECORD,
			Duration.ofMillis(700));

	private static final KnownOrigin PEER = new KnownOrigin(RECORD.origin(), KnownOrigin.Source.PEER, RECORD.age());

	private static final KnownOrigin ONLY_VERSION = new KnownOrigin(
			new StreamOrigin(new ServiceName("service"), "v1", null), KnownOrigin.Source.ONLY_VERSION,
			Duration.ofSeconds(20));

	private static final PeerMessage SUSPECTS = new PeerMessage.Suspects(Map.of(new Fingerprint(5, -6),
			new SuspectReport(
					List.of(new CrashObservation(new EndpointId("e"), Duration.ofMillis(400), Duration.ofMillis(300)),
							new CrashObservation(new EndpointId("f"), Duration.ofMillis(300), Duration.ZERO)),
					null),
			new Fingerprint(-7, 8), new SuspectReport(List.of(), Duration.ofMillis(700))));

	private final PeerMessageCodec codec = new PeerMessageCodec();

	@Test
	void originsOfStreamsAreReadAsWritten() {
		List<StreamOriginMessage> messages = List.of(new StreamOriginMessage.Replication(Map.of(STREAM, RECORD)),
				new StreamOriginMessage.Query(9, STREAM, "host", "/path/"), new StreamOriginMessage.Reply(9, null),
				new StreamOriginMessage.Reply(9, PEER), new StreamOriginMessage.Reply(9, ONLY_VERSION));
		PeerMessageCodec peerMessageCodec = new PeerMessageCodec();
		assertThat(messages).allSatisfy(
				(message) -> assertThat(peerMessageCodec.read(peerMessageCodec.write(message))).isEqualTo(message));
	}

	@Test
	void readsTheRolloutsThatItWrote() {
		RolloutOrder order = new RolloutOrder(new ServiceName("engines"), "v2", Duration.ofSeconds(12), 7);
		Rollout rollout = new Rollout(order, "v1", Instant.ofEpochMilli(99), -3, new RolloutStage.InProgress(0.04, 1));
		RolloutReport report = new RolloutReport(List.of(rollout),
				Map.of(new SampleKey(7, "chat", true), new VersionSamples(300, 200, 1)));
		TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(), report, Map.of(), Map.of());
		GatewayReport sent = new GatewayReport(7, new DataCenterName("a"), traffic, true, SHARED_STATE);
		assertThat(this.codec.read(this.codec.write(new PeerMessage.Report(sent))))
			.isEqualTo(new PeerMessage.Report(sent));
		LeaseRecord lease = new LeaseRecord("edge-1", 4, 2, List.of(),
				List.of(rollout.withDecision(5, new RolloutStage.Completed())));
		LeaseRecordCodec leaseCodec = new LeaseRecordCodec();
		assertThat(leaseCodec.read(leaseCodec.write(lease))).isEqualTo(lease);
	}

	@Test
	void readsTheReportThatItWrote() {
		assertReadsWhatItWrote(new PeerMessage.Report(
				new GatewayReport(Long.MAX_VALUE, new DataCenterName("a"), TRAFFIC, true, SHARED_STATE)));
	}

	@Test
	void readsTheSummaryThatItWrote() {
		List<DataCenterPresence> presence = List.of(new DataCenterPresence(new DataCenterName("a"), 19, 18, true),
				new DataCenterPresence(new DataCenterName("b"), 300, 0, false));
		assertReadsWhatItWrote(new PeerMessage.Summary(new FleetSummary(Long.MAX_VALUE, "a", presence, TRAFFIC,
				Long.MAX_VALUE, SHARED_STATE, List.of(1L, -2L))));
		assertReadsWhatItWrote(new PeerMessage.Summary(
				new FleetSummary(1, null, List.of(), TrafficTotals.NONE, 0, SharedStateVersion.NONE, List.of())));
	}

	@Test
	void readsTheSuspectsThatItWrote() {
		assertReadsWhatItWrote(SUSPECTS);
	}

	// Guards against gateways that don't hear each other while the fleet is upgraded: the
	// bytes were written before the reports on requests that crash endpoints existed.
	@Test
	void trafficReportsAreThoseOfTheFormerVersion() {
		TrafficTotals traffic = new TrafficTotals(TRAFFIC.usageCounts(), TRAFFIC.quotaUsed(), TRAFFIC.demand(),
				TRAFFIC.loads(), RolloutReport.NONE, Map.of(), Map.of());
		assertBytes(new PeerMessage.Report(new GatewayReport(7, new DataCenterName("a"), traffic, true, SHARED_STATE)),
				"010000000000000007016101010000000000000005fffffffffffffff7de020000000000000002"
						+ "01076163636f756e740501090301077365727669636507010165028407000000");
		assertBytes(new PeerMessage.Summary(new FleetSummary(1, "a", List.of(), traffic, 7, SHARED_STATE, List.of(1L))),
				"0200000000000000010101610000000000000007010000000000000005fffffffffffffff7de020000000000000002"
						+ "010000000000000001" + "0001076163636f756e740501090301077365727669636507010165028407000000");
	}

	// Guards against slowdowns that are lost or seem newer than they are, and a truncated
	// message that is read.
	@Test
	void readsTheSlowdownsThatItWroteWithAgesRoundedUp() {
		Map<EndpointId, ObservedSlowdown> slowdowns = Map.of(new EndpointId("e"),
				new ObservedSlowdown(2.8, Duration.ofNanos(1), 1_780_390_210_000L), new EndpointId("f"),
				new ObservedSlowdown(0.2, Duration.ofMillis(350), 0));
		byte[] written = this.codec.write(report(slowdowns));
		assertThat(this.codec.read(written)).isEqualTo(
				report(Map.of(new EndpointId("e"), new ObservedSlowdown(2.8, Duration.ofMillis(1), 1_780_390_210_000L),
						new EndpointId("f"), new ObservedSlowdown(0.2, Duration.ofMillis(350), 0))));
		int former = this.codec.write(report(Map.of())).length;
		for (int length = former + 1; length < written.length; length++) {
			byte[] truncated = Arrays.copyOf(written, length);
			assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.codec.read(truncated));
		}
		assertThat(this.codec.read(Arrays.copyOf(written, former))).as("message of the former version")
			.isEqualTo(report(Map.of()));
	}

	private static PeerMessage report(Map<EndpointId, ObservedSlowdown> slowdowns) {
		TrafficTotals traffic = new TrafficTotals(TRAFFIC.usageCounts(), TRAFFIC.quotaUsed(), TRAFFIC.demand(),
				TRAFFIC.loads(), TRAFFIC.rollouts(), TRAFFIC.rateLimits(), slowdowns);
		return new PeerMessage.Report(new GatewayReport(7, new DataCenterName("a"), traffic, true, SHARED_STATE));
	}

	private void assertBytes(PeerMessage message, String hex) {
		assertThat(HexFormat.of().formatHex(this.codec.write(message))).isEqualTo(hex);
		assertThat(this.codec.read(HexFormat.of().parseHex(hex))).isEqualTo(message);
	}

	private void assertReadsWhatItWrote(PeerMessage message) {
		assertThat(this.codec.read(this.codec.write(message))).isEqualTo(message);
	}

	@Test
	void readsTheLeaseRecordThatItWrote() {
		LeaseRecordCodec leases = new LeaseRecordCodec();
		LeaseRecord lease = new LeaseRecord("edge-1", 4, 2, List.of(new UsageReport(9, Map.of(ACCOUNT, 3L))),
				List.of());
		assertThat(leases.read(leases.write(lease))).isEqualTo(lease);
	}

	@Test
	void readsTheRelayedRecordsThatItWrote() {
		RelayedRecords relayed = new RelayedRecords(Topic.ENDPOINTS,
				List.of(new TopicRecord(7, "a", new byte[] { 1, -2 }), new TopicRecord(8, "b", null)), 900L);
		PeerMessage read = this.codec.read(this.codec.write(new PeerMessage.Relay(relayed)));
		assertThat(read).isInstanceOfSatisfying(PeerMessage.Relay.class, (message) -> {
			assertThat(message.records().topic()).isEqualTo(Topic.ENDPOINTS);
			assertThat(message.records().millisSinceFailure()).isEqualTo(900);
			assertThat(message.records().records().getFirst().value()).containsExactly(1, -2);
			assertThat(message.records().records().getLast().value()).isNull();
		});
	}

	// Guards against reports that take more than a quarter of a 7 Mbit/s link at a
	// hundred reports per second.
	@Test
	void aReportOfALargeFleetIsSmall() {
		GatewayReport report = new GatewayReport(7, new DataCenterName("zone"), largeTraffic(), false, SHARED_STATE);
		PeerMessage message = new PeerMessage.Report(report);
		assertThat(this.codec.write(message).length * 100 * Byte.SIZE).isLessThan(7_000_000 / 4);
		assertReadsWhatItWrote(message);
	}

	private static TrafficTotals largeTraffic() {
		Map<AccountName, Long> counts = new HashMap<>();
		Map<AccountName, Double> used = new HashMap<>();
		for (int i = 0; i < 16; i++) {
			counts.put(new AccountName("huka27" + i), 120L + i);
			used.put(new AccountName("huka27" + i), 1e7 + i);
		}
		Map<EndpointId, EndpointLoad> loads = new HashMap<>();
		for (int i = 0; i < 30; i++) {
			loads.put(new EndpointId("i-7f3a91c2" + i), new EndpointLoad(2, 9000));
		}
		return new TrafficTotals(Map.of(1L, counts, 2L, counts, 3L, counts, 4L, counts), used,
				Map.of(new ServiceName("service"), 7.0), loads, RolloutReport.NONE, Map.of(), Map.of());
	}

	// Guards against relayed records that saturate the link of a small VM for seconds
	// when all endpoints of a service change at once.
	@Test
	void similarRecordsAreCompressedToLessThanAQuarter() {
		List<TopicRecord> records = new ArrayList<>();
		int uncompressed = 0;
		for (int i = 0; i < 50; i++) {
			byte[] value = ("{\"service\":\"fiti51a\",\"address\":\"10.2.64." + i
					+ ":8661\",\"zone\":\"gt-central-b\",\"version\":3,\"slots\":16,\"state\":\"ready\","
					+ "\"warmupLeftMs\":0,\"sequence\":" + (900 + 7 * i) + ",\"born\":17803902" + (10000 + 31 * i)
					+ "}")
				.getBytes(StandardCharsets.UTF_8);
			records.add(new TopicRecord(40_000 + i, "i-297b3f02" + i, value));
			uncompressed += value.length;
		}
		PeerMessage message = new PeerMessage.Relay(new RelayedRecords(Topic.ENDPOINTS, records, null));
		assertThat(this.codec.write(message).length).isLessThan(uncompressed / 4);
	}

	@Test
	void rejectsATruncatedMessage() {
		for (PeerMessage message : List.of(SUSPECTS,
				new PeerMessage.Report(new GatewayReport(7, new DataCenterName("a"), TRAFFIC, true, SHARED_STATE)),
				new PeerMessage.Relay(new RelayedRecords(Topic.ENDPOINTS,
						List.of(new TopicRecord(7, "a", new byte[] { 1, -2 })), null)))) {
			byte[] complete = this.codec.write(message);
			for (int length = 0; length < complete.length; length++) {
				byte[] truncated = Arrays.copyOf(complete, length);
				assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.codec.read(truncated));
			}
		}
	}

	@Test
	void rejectsAMalformedMessage() {
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(() -> this.codec.read("cut sho".getBytes(StandardCharsets.US_ASCII)));
	}

}
