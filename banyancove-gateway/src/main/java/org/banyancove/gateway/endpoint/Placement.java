package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The endpoint chosen for a request.
 *
 * @param endpoint the endpoint
 * @param predictedMillis the predicted time to the answer or first event, in ms
 * @param prefillTokens the prompt tokens to prefill
 * @param prefixSource the endpoint to copy the prompt's shared prefix from, or
 * {@code null} if the chosen endpoint has it cached or prefills it
 */
public record Placement(Endpoint endpoint, double predictedMillis, int prefillTokens, @Nullable Endpoint prefixSource) {

	/**
	 * Creates the placement.
	 * @throws IllegalArgumentException if {@code predictedMillis} is negative
	 */
	public Placement {
		if (!(predictedMillis >= 0)) {
			throw new IllegalArgumentException("predictedMillis must not be negative: " + predictedMillis);
		}
	}

	/**
	 * Returns the predicted time to the first event if nothing were pending at the
	 * endpoint.
	 * @param now the current time
	 * @return the time
	 */
	public Duration serviceTime(long now) {
		return millis(this.endpoint.slowdown(now) * this.endpoint.idleFirstTokenMillis(this.prefillTokens));
	}

	/**
	 * Returns the time needed to prefill what all gateways have pending at the endpoint.
	 * @param now the current time
	 * @return the time
	 */
	public Duration backlog(long now) {
		int pending = (int) Math.min(Integer.MAX_VALUE, this.endpoint.totalPendingPrefillTokens());
		return millis(this.endpoint.slowdown(now) * this.endpoint.prefillMillis(pending));
	}

	private static Duration millis(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

}
