package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.ZoneName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.LeaseRecord;
import org.banyancove.gateway.duty.UsageReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ReportCodecTests {

	private final ReportCodec codec = new ReportCodec();

	@Test
	void readsWhatItWrote() {
		AccountName account = new AccountName("account");
		GatewayReport report = new GatewayReport(Long.MAX_VALUE, new ZoneName("zone"), Map.of(9L, Map.of(account, 3L)),
				Map.of(account, 5.0), Map.of(new ServiceName("service"), 7.0),
				Map.of(new EndpointId("e"), new EndpointLoad(2, 900)), true);
		assertThat(this.codec.readReport(this.codec.write(report))).isEqualTo(report);
		LeaseRecord lease = new LeaseRecord(4, 2, List.of(new UsageReport(9, Map.of(account, 3L))));
		assertThat(this.codec.readLease(this.codec.write(lease))).isEqualTo(lease);
	}

	@Test
	void refusesWhatIsNoReport() {
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(() -> this.codec.readReport("cut sho".getBytes(StandardCharsets.US_ASCII)));
	}

}
