package org.banyancove.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.EndpointId;

/**
 * The endpoints with a reclaim notice and their reclaim times.
 */
final class LeavingEndpoints {

	private static final Duration RETENTION = Duration.ofMinutes(10);

	private final StreamSettings settings;

	private final Map<EndpointId, Instant> reclaimTimes = new HashMap<>();

	LeavingEndpoints(StreamSettings settings) {
		this.settings = settings;
	}

	/**
	 * Adds an endpoint. Repeated notices for an endpoint are ignored.
	 * @param endpoint the endpoint
	 * @param reclaimAt the time at which the platform reclaims it
	 * @return {@code true} if the endpoint is new
	 */
	boolean add(EndpointId endpoint, Instant reclaimAt) {
		return this.reclaimTimes.putIfAbsent(endpoint, reclaimAt) == null;
	}

	boolean contains(EndpointId endpoint) {
		return this.reclaimTimes.containsKey(endpoint);
	}

	Set<EndpointId> all() {
		return this.reclaimTimes.keySet();
	}

	// The time by which no stream may depend on the endpoint.
	Instant lastUse(Instant reclaimAt) {
		return reclaimAt.minus(this.settings.leavingMargin());
	}

	/**
	 * Returns the time available for moving a KV cache from an endpoint.
	 * @param source the endpoint
	 * @param now the current time
	 * @return the time, zero if the reclaim is imminent
	 */
	Duration cacheMoveTime(EndpointId source, Instant now) {
		Duration maximum = this.settings.cacheMoveTimeout();
		Instant reclaimAt = this.reclaimTimes.get(source);
		if (reclaimAt == null) {
			return maximum;
		}
		Duration remaining = Duration.between(now, lastUse(reclaimAt));
		if (remaining.isNegative()) {
			return Duration.ZERO;
		}
		return (remaining.compareTo(maximum) < 0) ? remaining : maximum;
	}

	void removeExpired(Instant now) {
		this.reclaimTimes.values().removeIf((reclaimAt) -> reclaimAt.plus(RETENTION).isBefore(now));
	}

}
