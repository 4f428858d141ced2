package org.banyancove.program;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.burn.RequestSample;

/**
 * Counts the requests that met or missed their profile's targets, for the burn rate
 * report. Thread-safe.
 */
public final class ObjectiveMetrics {

	/**
	 * The counter's name, with the labels {@code profile}, {@code account} and
	 * {@code met}.
	 */
	public static final String COUNTER = "banyancove_objective_requests_total";

	private final Counter requests;

	/**
	 * Registers the counter.
	 * @param registry the process's registry
	 */
	public ObjectiveMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name(COUNTER)
			.help("Requests that count against their profile's objective")
			.labelNames("profile", "account", "met")
			.register(registry);
	}

	/**
	 * Adds a request, if it counts towards its profile's objective.
	 * @param sample the request
	 */
	public void add(RequestSample sample) {
		if (sample.counts()) {
			this.requests.labelValues(sample.profile().value(), sample.account().value(), String.valueOf(sample.met()))
				.inc();
		}
	}

}
