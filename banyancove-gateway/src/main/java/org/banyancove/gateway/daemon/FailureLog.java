package org.banyancove.gateway.daemon;

import java.time.Duration;

import org.banyancove.gateway.shared.MonotonicClock;
import org.slf4j.Logger;

/**
 * Logs failures that others can cause in any number, one in an interval.
 */
final class FailureLog {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	private static final int MAXIMUM_CAUSE_LENGTH = 200;

	private final Logger log;

	private final MonotonicClock clock;

	private boolean logged;

	private long lastLoggedAt;

	private int suppressed;

	/**
	 * Creates the log.
	 * @param log the logger
	 * @param clock the monotonic clock
	 */
	FailureLog(Logger log, MonotonicClock clock) {
		this.log = log;
		this.clock = clock;
	}

	/**
	 * Logs a failure, unless another one was logged within the interval.
	 * @param event the event
	 * @param key the key of the record
	 * @param offset the offset of the record
	 * @param cause the cause
	 */
	void failed(String event, String key, long offset, Throwable cause) {
		long now = this.clock.nanos();
		if (this.logged && now - this.lastLoggedAt < INTERVAL.toNanos()) {
			this.suppressed++;
			return;
		}
		this.logged = true;
		this.lastLoggedAt = now;
		this.log.atWarn()
			.addKeyValue("key", abbreviate(key))
			.addKeyValue("offset", offset)
			.addKeyValue("cause", abbreviate(cause.toString()))
			.addKeyValue("suppressed", this.suppressed)
			.log(event);
		this.suppressed = 0;
	}

	private static String abbreviate(String text) {
		return (text.length() <= MAXIMUM_CAUSE_LENGTH) ? text : text.substring(0, MAXIMUM_CAUSE_LENGTH) + "...";
	}

}
