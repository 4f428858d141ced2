package org.banyancove.gateway.daemon;

import java.util.Map;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.exchange.RequestLog.RetryDecision;
import org.slf4j.Logger;

/**
 * Counts and logs the decisions of the retry budgets.
 */
final class RetryMetrics {

	private final Logger log;

	private final Counter retries;

	private final Counter refusedRetries;

	private final Gauge availableRetries;

	RetryMetrics(PrometheusRegistry registry, Logger log) {
		this.log = log;
		this.retries = Counter.builder()
			.withoutExemplars()
			.name("banyancove_retries_total")
			.help("Retries that the retry budget granted, by service")
			.labelNames("service")
			.register(registry);
		this.refusedRetries = Counter.builder()
			.withoutExemplars()
			.name("banyancove_refused_retries_total")
			.help("Retries that the retry budget refused, by service")
			.labelNames("service")
			.register(registry);
		this.availableRetries = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_available_retries")
			.help("Retries that the retry budget would grant now, by service")
			.labelNames("service")
			.register(registry);
	}

	void count(RetryDecision retry) {
		(retry.granted() ? this.retries : this.refusedRetries).labelValues(retry.service().value()).inc();
	}

	void log(RetryDecision retry) {
		this.log.atInfo()
			.addKeyValue("requestId", retry.requestId())
			.addKeyValue("service", retry.service().value())
			.addKeyValue("availableRetries", retry.available())
			.addKeyValue("retriesSinceStart", retry.grantedTotal())
			.addKeyValue("fleetSize", retry.fleetSize())
			.addKeyValue("fleetSizeAgeMs", retry.fleetSizeAge().toMillis())
			.log(retry.granted() ? "retry granted" : "retry refused");
	}

	void available(Map<ServiceName, Integer> byService) {
		byService.forEach((service, available) -> this.availableRetries.labelValues(service.value()).set(available));
	}

}
