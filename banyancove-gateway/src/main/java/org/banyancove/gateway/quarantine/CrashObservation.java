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

}
