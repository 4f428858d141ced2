package org.banyancove.gateway.waiting;

import org.banyancove.core.AccountName;
import org.jspecify.annotations.Nullable;

/**
 * A request that may wait for an endpoint.
 *
 * @param id the request id
 * @param priority the priority, 0 highest
 * @param account the client account, or {@code null} for an anonymous request; all
 * anonymous requests count as one account
 * @param quotaSeconds the request's cost divided by the rate of its account's quota, in s
 * @param workMillis the engine time that it needs, in ms
 * @param bytes the size of its body
 * @param arrivedAt the monotonic time of its arrival, in ns
 * @param latestStartAt the monotonic time after which it would miss its latency target,
 * in ns
 */
public record WaitingRequest(String id, int priority, @Nullable AccountName account, double quotaSeconds,
		double workMillis, int bytes, long arrivedAt, long latestStartAt) {

	/**
	 * Creates the request.
	 * @throws IllegalArgumentException if {@code priority} or {@code bytes} is negative,
	 * or {@code quotaSeconds} or {@code workMillis} is negative or not finite
	 */
	public WaitingRequest {
		checkNotNegative("priority", priority);
		checkNotNegative("quotaSeconds", quotaSeconds);
		checkNotNegative("workMillis", workMillis);
		checkNotNegative("bytes", bytes);
	}

	private static void checkNotNegative(String name, double value) {
		if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
			throw new IllegalArgumentException(name + " must be finite and not negative: " + value);
		}
	}

	boolean expired(long now) {
		return now - this.latestStartAt > 0;
	}

}
