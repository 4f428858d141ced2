package org.banyancove.core.stream;

import java.time.Duration;

/**
 * Settings of streams.
 *
 * @param firstPieceTimeout the timeout for the first piece of an attempt
 * @param minimumStallTimeout the minimum time without a piece after which a stream is
 * considered stalled
 * @param stallFactor the multiple of the mean time between tokens after which a stream
 * without a piece is considered stalled
 * @param missingPieceTimeout the timeout for a missing piece
 * @param cacheMoveTimeout the timeout for moving a KV cache
 * @param leavingMargin how long before the reclaim a stream must have moved
 * @param maximumAttempts the number of attempts without a new token after which an answer
 * is given up
 * @param maximumBufferedPieces the maximum number of out-of-order pieces buffered per
 * stream
 * @param keepEnded how long an ended answer is kept
 * @param maximumEndedCharacters the maximum total size of ended answers in characters
 */
public record StreamSettings(Duration firstPieceTimeout, Duration minimumStallTimeout, int stallFactor,
		Duration missingPieceTimeout, Duration cacheMoveTimeout, Duration leavingMargin, int maximumAttempts,
		int maximumBufferedPieces, Duration keepEnded, long maximumEndedCharacters) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public StreamSettings {
		if (stallFactor <= 0 || maximumAttempts <= 0 || maximumBufferedPieces < 0 || maximumEndedCharacters <= 0) {
			throw new IllegalArgumentException("bounds must be positive: " + stallFactor + ", " + maximumAttempts + ", "
					+ maximumBufferedPieces + ", " + maximumEndedCharacters);
		}
	}

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static StreamSettings defaults() {
		return new StreamSettings(Duration.ofSeconds(10), Duration.ofSeconds(1), 20, Duration.ofMillis(200),
				Duration.ofSeconds(5), Duration.ofSeconds(5), 8, 256, Duration.ofMinutes(10), 256L * 1024 * 1024);
	}

}
