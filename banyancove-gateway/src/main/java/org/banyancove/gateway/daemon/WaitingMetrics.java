package org.banyancove.gateway.daemon;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.gateway.exchange.RequestLog.WaitedRequest;
import org.slf4j.Logger;

/**
 * Counts and logs the requests that wait for an endpoint.
 */
final class WaitingMetrics {

	private final Logger log;

	private final Gauge waitingRequests;

	private final Gauge waitingBytes;

	private final Counter rejections;

	private final Histogram waitingTime;

	WaitingMetrics(PrometheusRegistry registry, Logger log, double[] bucketBounds) {
		this.log = log;
		this.waitingRequests = Gauge.builder()
			.name("banyancove_waiting_requests")
			.help("Requests that wait at this gateway for an endpoint")
			.register(registry);
		this.waitingBytes = Gauge.builder()
			.name("banyancove_waiting_bytes")
			.help("Bodies of the requests that wait at this gateway for an endpoint")
			.register(registry);
		this.rejections = Counter.builder()
			.name("banyancove_waiting_rejections_total")
			.help("Requests rejected while, or instead of, waiting for an endpoint, by service and reason")
			.labelNames("service", "reason")
			.register(registry);
		this.waitingTime = Histogram.builder()
			.name("banyancove_waiting_seconds")
			.help("From the arrival to the end of waiting of requests that waited for an endpoint, by outcome")
			.labelNames("outcome")
			.classicOnly()
			.classicUpperBounds(bucketBounds)
			.register(registry);
	}

	void waiting(int requests, long bytes) {
		this.waitingRequests.set(requests);
		this.waitingBytes.set((double) bytes);
	}

	void count(WaitedRequest request) {
		this.waitingTime.labelValues(request.outcome()).observe(request.waited().toNanos() / 1e9);
		if (request.retryAfter() != null) {
			this.rejections.labelValues(request.service().value(), request.outcome()).inc();
		}
	}

	void log(WaitedRequest request) {
		this.log.atInfo()
			.addKeyValue("requestId", request.requestId())
			.addKeyValue("service", request.service().value())
			.addKeyValue("reason", request.outcome())
			.addKeyValue("waitedMs", request.waited().toMillis())
			.addKeyValue("retryAfterMs", (request.retryAfter() != null) ? request.retryAfter().toMillis() : null)
			.addKeyValue("waiting", request.waiting())
			.log("waiting request rejected");
	}

}
