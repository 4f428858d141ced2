package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;

import org.banyancove.core.EndpointId;

/**
 * A crash of an endpoint as observed by one entry.
 *
 * @param endpoint the endpoint
 * @param at the time at which the entry observed it
 * @param inWave whether the endpoint may have been reclaimed in a wave instead
 */
public record Crash(EndpointId endpoint, Instant at, boolean inWave) {

	/** Entries observe the same crash within this time of each other. */
	private static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(5);

	Crash asInWave() {
		return new Crash(this.endpoint, this.at, true);
	}

	boolean isSameAs(Crash other) {
		return this.endpoint.equals(other.endpoint)
				&& Duration.between(this.at, other.at).abs().compareTo(SAME_CRASH_WINDOW) <= 0;
	}

}
