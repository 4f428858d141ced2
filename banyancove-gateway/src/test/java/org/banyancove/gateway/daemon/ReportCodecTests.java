package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
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

	@Test
	void refusesWhatIsNoReport() {
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(() -> this.codec.readMessage("cut sho".getBytes(StandardCharsets.US_ASCII)));
	}

}
