package org.banyancove.gateway.daemon;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.EndpointId;
import org.banyancove.gateway.exchange.RequestLog;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs what becomes of requests.
 * <p>
 * A line a request, up to a bound a second; beyond it lines are dropped and counted, so
 * that logging cannot take the time that the requests need.
 */
final class GatewayMetrics implements RequestLog {

	private static final Logger log = LoggerFactory.getLogger("org.banyancove.gateway.requests");

	/** Lines a second: at 0.1 ms a line, 2 in 100 of half a core. */
	private static final int MAXIMUM_LINES = 100;

	/** There are five ticks a second. */
	private static final int LINES_A_TICK = MAXIMUM_LINES / 5;

	/**
	 * From a tenth of the shortest target of interactive traffic to its longest deadline,
	 * in s.
	 */
	private static final double[] BUCKETS = { 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15, 60 };

	private final Counter requests;

	private final Counter failedAttempts;

	private final Counter droppedLines;

	private final Histogram firstByte;

	private final Histogram whole;

	private final Gauge endpointsAge;

	private int linesLeft = MAXIMUM_LINES;

	private long dropped;

	GatewayMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("banyancove_requests_total")
			.help("Requests by outcome")
			.labelNames("outcome")
			.register(registry);
		this.failedAttempts = Counter.builder()
			.name("banyancove_failed_attempts_total")
			.help("Attempts at endpoints that brought no answer")
			.register(registry);
		this.droppedLines = Counter.builder()
			.name("banyancove_dropped_log_lines_total")
			.help("Log lines left out to bound their volume")
			.register(registry);
		this.firstByte = Histogram.builder()
			.name("banyancove_first_byte_seconds")
			.help("From a request's arrival to the first byte of its answer")
			.classicOnly()
			.classicUpperBounds(BUCKETS)
			.register(registry);
		this.whole = Histogram.builder()
			.name("banyancove_request_seconds")
			.help("From a request's arrival to its end")
			.classicOnly()
			.classicUpperBounds(BUCKETS)
			.register(registry);
		this.endpointsAge = Gauge.builder()
			.name("banyancove_endpoints_age_seconds")
			.help("Since the store was last asked for what is known of endpoints")
			.register(registry);
	}

	void endpointsAge(Duration age) {
		this.endpointsAge.set(age.toNanos() / 1e9);
	}

	/** Gives back a tick's part of the bound on lines. */
	void nextTick() {
		this.linesLeft = Math.min(MAXIMUM_LINES, this.linesLeft + LINES_A_TICK);
		if (this.dropped > 0) {
			log.atWarn().addKeyValue("lines", this.dropped).log("lines dropped");
			this.dropped = 0;
		}
	}

	private boolean mayLog() {
		if (this.linesLeft <= 0) {
			this.dropped++;
			this.droppedLines.inc();
			return false;
		}
		this.linesLeft--;
		return true;
	}

	@Override
	public void rejected(RejectionFacts facts) {
		this.requests.labelValues(facts.kind().code()).inc();
		if (mayLog()) {
			log.atInfo()
				.addKeyValue("requestId", facts.requestId())
				.addKeyValue("error", facts.kind().code())
				.addKeyValue("status", facts.kind().status())
				.addKeyValue("retryAfterMs", (facts.retryAfter() != null) ? facts.retryAfter().toMillis() : null)
				.addKeyValue("account", facts.account())
				.addKeyValue("quotaAvailable", facts.quotaAvailable())
				.addKeyValue("configuration", facts.version())
				.log("request rejected");
		}
	}

	@Override
	public void attemptFailed(AttemptFacts attempt, String reason) {
		this.failedAttempts.inc();
		if (mayLog()) {
			log.atInfo()
				.addKeyValue("requestId", attempt.requestId())
				.addKeyValue("endpoint", attempt.endpoint())
				.addKeyValue("attempt", attempt.number())
				.addKeyValue("predictedMs", Math.round(attempt.predictedMillis()))
				.addKeyValue("elapsedMs", attempt.elapsed().toMillis())
				.addKeyValue("reason", reason)
				.log("attempt failed");
		}
	}

	@Override
	public void ended(RequestFacts facts) {
		this.requests.labelValues(facts.outcome()).inc();
		this.whole.observe(facts.elapsed().toNanos() / 1e9);
		if (facts.untilFirst() != null) {
			this.firstByte.observe(facts.untilFirst().toNanos() / 1e9);
		}
		if (mayLog()) {
			log.atInfo()
				.addKeyValue("requestId", facts.requestId())
				.addKeyValue("route", facts.route())
				.addKeyValue("outcome", facts.outcome())
				.addKeyValue("status", facts.status())
				.addKeyValue("endpoint", facts.endpoint())
				.addKeyValue("attempts", facts.attempts())
				.addKeyValue("firstByteMs", (facts.untilFirst() != null) ? facts.untilFirst().toMillis() : null)
				.addKeyValue("elapsedMs", facts.elapsed().toMillis())
				.addKeyValue("configuration", facts.version())
				.log("request ended");
		}
	}

	@Override
	public void rateLimitChanged(EndpointId endpoint, @Nullable Double requestsPerSecond) {
		log.atInfo()
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("requestsPerSecond", requestsPerSecond)
			.log("endpoint rate limit changed");
	}

}
