package org.banyancove.gateway.quarantine;

import java.time.Duration;

import org.banyancove.core.EndpointId;

/**
 * The loss of an endpoint's connection while it had a request, as reported to other
 * gateways.
 *
 * @param endpoint the endpoint
 * @param sentAge the time since the request was sent
 * @param lostAge the time since the connection ended
 */
public record CrashObservation(EndpointId endpoint, Duration sentAge, Duration lostAge) {

	/** Reports of the same crash differ by less than this, even on a slow network. */
	static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(2);

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if {@code lostAge} is negative or exceeds
	 * {@code sentAge}
	 */
	public CrashObservation {
		if (lostAge.isNegative() || lostAge.compareTo(sentAge) > 0) {
			throw new IllegalArgumentException("lostAge must be from 0 to " + sentAge + ": " + lostAge);
		}
	}

	/**
	 * Returns this observation with its ages increased.
	 * @param elapsed the time to add
	 * @return the aged observation
	 */
	CrashObservation after(Duration elapsed) {
		return new CrashObservation(this.endpoint, this.sentAge.plus(elapsed), this.lostAge.plus(elapsed));
	}

	boolean isSameCrash(CrashObservation other) {
		return this.endpoint.equals(other.endpoint)
				&& this.lostAge.minus(other.lostAge).abs().compareTo(SAME_CRASH_WINDOW) < 0;
	}

}
