package org.banyancove.gateway.daemon;

import java.time.Duration;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.exchange.RequestLog.WaitedRequest;
import org.banyancove.program.MetricsText;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitingMetricsTests {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final GatewayMetrics metrics = new GatewayMetrics(this.registry);

	@Test
	void waitingRequestsAreCountedByOutcome() {
		this.metrics.waiting(3, 4000);
		this.metrics.waitingEnded(request("sent", null));
		this.metrics.waitingEnded(request("expired", Duration.ofMillis(400)));
		assertThat(new MetricsText(this.registry).text())
			.contains("banyancove_waiting_requests 3.0", "banyancove_waiting_bytes 4000.0",
					"banyancove_waiting_rejections_total{reason=\"expired\",service=\"engines\"} 1.0",
					"banyancove_waiting_seconds_count{outcome=\"sent\"} 1",
					"banyancove_waiting_seconds_count{outcome=\"expired\"} 1")
			.doesNotContain("reason=\"sent\"");
	}

	private static WaitedRequest request(String outcome, @Nullable Duration retryAfter) {
		return new WaitedRequest("id", new ServiceName("engines"), outcome, Duration.ofMillis(30), retryAfter, 3);
	}

}
