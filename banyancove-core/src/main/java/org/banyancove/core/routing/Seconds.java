package org.banyancove.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Conversions to seconds, the unit of all estimates.
 * <p>
 * A {@code double} represents times of this century to a quarter of a microsecond. It
 * takes 8 bytes, whereas an {@link Instant} takes 24 bytes and an allocation.
 */
final class Seconds {

	private static final double NANOS_PER_SECOND = 1e9;

	private Seconds() {
	}

	static double of(Instant instant) {
		return instant.getEpochSecond() + instant.getNano() / NANOS_PER_SECOND;
	}

	static double of(Duration duration) {
		return duration.getSeconds() + duration.getNano() / NANOS_PER_SECOND;
	}

	static Duration toDuration(double seconds) {
		return Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
	}

}
