package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * How often a topic is read.
 *
 * @param interval from the end of a read to the next one
 * @param hold how long the store may hold a read until there is something new
 * @param maximumRetryDelay the most between two attempts while reads fail
 */
record ReadPace(Supplier<Duration> interval, Duration hold, Supplier<Duration> maximumRetryDelay) {

	/**
	 * First delay after a failed read: soon, since what is unknown may be a key that was
	 * taken away.
	 */
	private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(250);

	/** Doublings after which no maximum is exceeded by any delay. */
	private static final int MAXIMUM_DOUBLINGS = 10;

	/**
	 * Returns the delay after a failed read, which doubles up to the maximum.
	 * @param failures the reads that failed in a row
	 * @return the delay
	 */
	Duration retryDelay(int failures) {
		Duration delay = FIRST_RETRY_DELAY.multipliedBy(1L << Math.clamp(failures - 1, 0, MAXIMUM_DOUBLINGS));
		Duration maximum = this.maximumRetryDelay.get();
		return (delay.compareTo(maximum) < 0) ? delay : maximum;
	}

}
