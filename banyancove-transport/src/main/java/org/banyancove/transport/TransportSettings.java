package org.banyancove.transport;

import java.time.Duration;

/**
 * The limits and timeouts of the transport.
 *
 * @param maximumFrameBytes the maximum size of a message received or sent, in bytes
 * @param maximumQueued the maximum number of messages queued for one peer
 * @param connectTimeout the timeout for opening a connection
 * @param keepAliveInterval the time between two keep-alives on a connection
 * @param silenceTimeout the time without a received byte after which a connection is
 * closed
 * @param idleTimeout the time without a message to send after which a link is closed
 * @param firstBackoff the delay before the second connection attempt
 * @param longestBackoff the maximum delay between two connection attempts
 */
public record TransportSettings(int maximumFrameBytes, int maximumQueued, Duration connectTimeout,
		Duration keepAliveInterval, Duration silenceTimeout, Duration idleTimeout, Duration firstBackoff,
		Duration longestBackoff) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a value is not positive, or the silence timeout
	 * is shorter than two keep-alive intervals
	 */
	public TransportSettings {
		if (maximumFrameBytes <= 0 || maximumQueued <= 0) {
			throw new IllegalArgumentException("maximumFrameBytes and maximumQueued must be positive: "
					+ maximumFrameBytes + ", " + maximumQueued);
		}
		checkPositive("connectTimeout", connectTimeout);
		checkPositive("keepAliveInterval", keepAliveInterval);
		checkPositive("idleTimeout", idleTimeout);
		checkPositive("firstBackoff", firstBackoff);
		checkPositive("longestBackoff", longestBackoff);
		if (silenceTimeout.compareTo(keepAliveInterval.multipliedBy(2)) < 0) {
			throw new IllegalArgumentException(
					"silenceTimeout must be at least twice keepAliveInterval: " + silenceTimeout);
		}
	}

	/**
	 * Returns the default settings, which suit the network of a data center.
	 * @return the settings
	 */
	public static TransportSettings defaults() {
		return new TransportSettings(4 << 20, 4096, Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(6),
				Duration.ofMinutes(1), Duration.ofMillis(100), Duration.ofSeconds(5));
	}

	private static void checkPositive(String field, Duration value) {
		if (!value.isPositive()) {
			throw new IllegalArgumentException(field + " must be positive: " + value);
		}
	}

}
