package org.banyancove.gateway.daemon;

import java.util.LinkedHashSet;
import java.util.Set;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.EndpointId;
import org.slf4j.Logger;

/**
 * Counts and logs what endpoints announce about their load.
 */
final class EndpointMetrics {

	/** Endpoints whose log line is remembered; the oldest are forgotten first. */
	private static final int MAXIMUM_REMEMBERED_ENDPOINTS = 1024;

	private static final int MAXIMUM_LOGGED_HEADER_LENGTH = 64;

	private final Logger log;

	private final Counter unreadableLoadHeaders;

	private final Gauge slowedEndpoints;

	private final Set<EndpointId> logged = new LinkedHashSet<>();

	EndpointMetrics(PrometheusRegistry registry, Logger log) {
		this.log = log;
		this.unreadableLoadHeaders = Counter.builder()
			.withoutExemplars()
			.name("banyancove_unreadable_load_headers_total")
			.help("Answers of endpoints whose load header could not be read")
			.register(registry);
		this.slowedEndpoints = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_slowed_endpoints")
			.help("Endpoints whose announced slowdown is above 1.5")
			.register(registry);
	}

	void loadUnreadable(EndpointId endpoint, String header) {
		this.unreadableLoadHeaders.inc();
		if (!this.logged.add(endpoint)) {
			return;
		}
		if (this.logged.size() > MAXIMUM_REMEMBERED_ENDPOINTS) {
			this.logged.remove(this.logged.iterator().next());
		}
		this.log.atWarn()
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("header", header.substring(0, Math.min(header.length(), MAXIMUM_LOGGED_HEADER_LENGTH)))
			.log("endpoint load unreadable");
	}

	void slowedEndpoints(int count) {
		this.slowedEndpoints.set(count);
	}

}
