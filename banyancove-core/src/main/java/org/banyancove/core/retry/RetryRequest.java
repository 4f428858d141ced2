package org.banyancove.core.retry;

import java.time.Instant;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.Profile;

/**
 * A request whose attempt failed.
 *
 * @param service the service
 * @param profile the profile under which it was accepted
 * @param repeatable whether the call may safely run again
 * @param knownNotRun whether the endpoint is known not to have run the attempt
 * @param endpointLost whether the endpoint was lost together with all running attempts
 * @param failedAt all endpoints that failed the request
 * @param attempts the number of attempts made, at least 1
 * @param acceptedAt when the request was accepted
 */
public record RetryRequest(ServiceName service, Profile profile, boolean repeatable, boolean knownNotRun,
		boolean endpointLost, Set<EndpointId> failedAt, int attempts, Instant acceptedAt) {

	/**
	 * Creates the request with an immutable copy.
	 * @throws IllegalArgumentException if there was no attempt
	 */
	public RetryRequest {
		if (attempts < 1) {
			throw new IllegalArgumentException("attempts must be at least 1: " + attempts);
		}
		failedAt = Set.copyOf(failedAt);
	}

	/**
	 * Creates the request for an endpoint that is still available.
	 * @param service the service
	 * @param profile the profile under which it was accepted
	 * @param repeatable whether the call may safely run again
	 * @param knownNotRun whether the endpoint is known not to have run the attempt
	 * @param failedAt all endpoints that failed the request
	 * @param attempts the number of attempts made, at least 1
	 * @param acceptedAt when the request was accepted
	 */
	public RetryRequest(ServiceName service, Profile profile, boolean repeatable, boolean knownNotRun,
			Set<EndpointId> failedAt, int attempts, Instant acceptedAt) {
		this(service, profile, repeatable, knownNotRun, false, failedAt, attempts, acceptedAt);
	}

	boolean isSafe() {
		return this.repeatable || this.knownNotRun;
	}

}
