package org.banyancove.gateway.daemon;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how late the event loop runs its timers.
 * <p>
 * A VM that gets more work than its processor share allows shows no symptom other than
 * slow responses; the lag distinguishes this case from slow endpoints and saturated
 * links.
 */
final class EventLoopLagMonitor {

	private static final Logger log = LoggerFactory.getLogger(EventLoopLagMonitor.class);

	/** Lag from which callers notice the delay. */
	private static final Duration LOG_THRESHOLD = Duration.ofMillis(250);

	private final Duration interval;

	private final Gauge gauge;

	private long lastFiredAt;

	private boolean started;

	EventLoopLagMonitor(Duration interval, PrometheusRegistry registry) {
		this.interval = interval;
		this.gauge = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_event_loop_lag_seconds")
			.help("How late the event loop ran its last timer")
			.register(registry);
	}

	/**
	 * Records that the timer fired.
	 * @param now the current time of the monotonic clock, in ns
	 */
	void timerFired(long now) {
		Duration lag = Duration.ofNanos(now - this.lastFiredAt).minus(this.interval);
		this.lastFiredAt = now;
		if (!this.started) {
			this.started = true;
			return;
		}
		this.gauge.set(Math.max(0, lag.toNanos() / 1e9));
		if (lag.compareTo(LOG_THRESHOLD) > 0) {
			log.atWarn().addKeyValue("lagMs", lag.toMillis()).log("event loop lagged");
		}
	}

}
