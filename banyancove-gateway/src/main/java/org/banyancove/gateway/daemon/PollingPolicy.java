package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * The intervals at which a topic is polled.
 *
 * @param pollInterval the interval from the end of a read to the next one
 * @param longPollTimeout the time for which the store may delay the response until there
 * is a change
 * @param maximumRetryDelay the maximum delay between two attempts while reads fail
 */
record PollingPolicy(Supplier<Duration> pollInterval, Duration longPollTimeout, Supplier<Duration> maximumRetryDelay) {

	/**
	 * Delay after the first failed read. It is short, since the missed change may be the
	 * removal of a key.
	 */
	private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(250);

	/**
	 * Limit of the doublings, at which every delay exceeds the maximum; prevents an
	 * overflow.
	 */
	private static final int MAXIMUM_DOUBLINGS = 10;

	/**
	 * Returns the delay after a failed read, which doubles with each failure up to the
	 * maximum.
	 * @param consecutiveFailures the number of consecutive failed reads
	 * @return the delay
	 */
	Duration retryDelay(int consecutiveFailures) {
		Duration delay = FIRST_RETRY_DELAY
			.multipliedBy(1L << Math.clamp(consecutiveFailures - 1, 0, MAXIMUM_DOUBLINGS));
		Duration maximum = this.maximumRetryDelay.get();
		return (delay.compareTo(maximum) < 0) ? delay : maximum;
	}

}
