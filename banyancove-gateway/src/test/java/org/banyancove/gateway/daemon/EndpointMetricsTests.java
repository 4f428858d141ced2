package org.banyancove.gateway.daemon;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.EndpointId;
import org.banyancove.program.MetricsText;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.spi.NOPLoggingEventBuilder;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointMetricsTests {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final AtomicInteger warnings = new AtomicInteger();

	private final EndpointMetrics metrics = new EndpointMetrics(this.registry, countingLogger());

	private Logger countingLogger() {
		return (Logger) Proxy.newProxyInstance(Logger.class.getClassLoader(), new Class<?>[] { Logger.class },
				(proxy, method, arguments) -> {
					assertThat(method.getName()).isEqualTo("atWarn");
					this.warnings.incrementAndGet();
					return NOPLoggingEventBuilder.singleton();
				});
	}

	@Test
	void unreadableLoadHeadersAndSlowedEndpointsAreCounted() {
		this.metrics.loadUnreadable(new EndpointId("a"), "x".repeat(1000));
		this.metrics.loadUnreadable(new EndpointId("a"), "");
		this.metrics.slowedEndpoints(3);
		assertThat(new MetricsText(this.registry).text()).contains("banyancove_unreadable_load_headers_total 2.0",
				"banyancove_slowed_endpoints 3.0");
	}

	// Guards against a log that is filled by an endpoint whose header is never readable,
	// and against a memory that grows with the endpoints that come and go.
	@Test
	void anUnreadableLoadHeaderIsLoggedOnceForAnEndpoint() {
		for (int i = 0; i < 1025; i++) {
			this.metrics.loadUnreadable(new EndpointId("e-" + i), "3,x");
			this.metrics.loadUnreadable(new EndpointId("e-" + i), "3,y");
		}
		assertThat(this.warnings).hasValue(1025);
		this.metrics.loadUnreadable(new EndpointId("e-1"), "3,x");
		assertThat(this.warnings).hasValue(1025);
		this.metrics.loadUnreadable(new EndpointId("e-0"), "3,x");
		assertThat(this.warnings).hasValue(1026);
	}

}
