package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.KnownState;
import org.banyancove.gateway.duty.LeaseRecord;
import org.banyancove.gateway.duty.UsageReport;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ReportCodecTests {

	private final ReportCodec codec = new ReportCodec();

	@Test
	void readsWhatItWrote() {
		AccountName account = new AccountName("account");
		GatewayReport report = new GatewayReport(Long.MAX_VALUE, new DataCenterName("zone"),
				Map.of(9L, Map.of(account, 3L)), Map.of(account, 5.0), Map.of(new ServiceName("service"), 7.0),
				Map.of(new EndpointId("e"), new EndpointLoad(2, 900)), true, new KnownState(true, 5, -9, 2));
		assertThat(this.codec.readMessage(this.codec.write(report))).isEqualTo(new PeerMessage.Report(report));
		LeaseRecord lease = new LeaseRecord(4, 2, List.of(new UsageReport(9, Map.of(account, 3L))));
		assertThat(this.codec.readLease(this.codec.write(lease))).isEqualTo(lease);
	}

	@Test
	void readsRelayedRecordsAsTheyWere() {
		RelayedRecords relayed = new RelayedRecords(Topic.ENDPOINTS,
				List.of(new TopicRecord(7, "a", new byte[] { 1, -2 }), new TopicRecord(8, "b", null)), 900L);
		PeerMessage read = this.codec.readMessage(this.codec.write(relayed));
		assertThat(read).isInstanceOfSatisfying(PeerMessage.Relay.class, (message) -> {
			assertThat(message.relayed().outageMillis()).isEqualTo(900);
			assertThat(message.relayed().records().getFirst().value()).containsExactly(1, -2);
			assertThat(message.relayed().records().getLast().value()).isNull();
		});
	}

	// At 68 gateways each gets a hundred reports a second, over links of 7 Mbit/s at the
	// least. Reports that take more than a quarter of it delay the callers' answers.
	@Test
	void aReportOfALargeFleetIsSmall() {
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
		GatewayReport report = new GatewayReport(7, new DataCenterName("zone"),
				Map.of(1L, counts, 2L, counts, 3L, counts, 4L, counts), used, Map.of(new ServiceName("service"), 7.0),
				loads, false, new KnownState(true, 5, -9, 2));
		assertThat(this.codec.write(report).length * 100 * Byte.SIZE).isLessThan(7_000_000 / 4);
		assertThat(this.codec.readMessage(this.codec.write(report))).isEqualTo(new PeerMessage.Report(report));
	}

	@Test
	void refusesAReportThatIsCutShort() {
		GatewayReport report = new GatewayReport(7, new DataCenterName("zone"), Map.of(), Map.of(), Map.of(), Map.of(),
				false, KnownState.NONE);
		byte[] whole = this.codec.write(report);
		for (int length = 1; length < whole.length; length++) {
			byte[] cut = Arrays.copyOf(whole, length);
			assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.codec.readMessage(cut));
		}
	}

	@Test
	void refusesWhatIsNoReport() {
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(() -> this.codec.readMessage("cut sho".getBytes(StandardCharsets.US_ASCII)));
	}

}
