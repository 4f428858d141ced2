package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.Map;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.exchange.RequestLog.RetryDecision;
import org.banyancove.program.MetricsText;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryMetricsTests {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final GatewayMetrics metrics = new GatewayMetrics(this.registry);

	@Test
	void retriesAreCountedByServiceAndDecision() {
		this.metrics.retryDecided(decision("desk", true));
		this.metrics.retryDecided(decision("desk", true));
		this.metrics.retryDecided(decision("desk", false));
		this.metrics.retryDecided(decision("engines", false));
		this.metrics.availableRetries(Map.of(new ServiceName("desk"), 4));
		assertThat(new MetricsText(this.registry).text()).contains("banyancove_retries_total{service=\"desk\"} 2.0",
				"banyancove_refused_retries_total{service=\"desk\"} 1.0",
				"banyancove_refused_retries_total{service=\"engines\"} 1.0",
				"banyancove_available_retries{service=\"desk\"} 4.0");
	}

	private static RetryDecision decision(String service, boolean granted) {
		return new RetryDecision("id", new ServiceName(service), granted, 1, 1, 9, Duration.ofSeconds(3));
	}

}
