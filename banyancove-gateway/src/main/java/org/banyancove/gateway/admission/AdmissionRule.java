package org.banyancove.gateway.admission;

import java.time.Duration;

import org.banyancove.gateway.configuration.Route;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a request is forwarded or rejected immediately, and derives the
 * timeouts of a request from its route.
 * <p>
 * Without admission control, an overload lets each engine's queue grow until every first
 * event is late, and prefill is spent on requests whose callers have timed out. A request
 * that misses its latency target has a tenth of its value. Rejecting it before it is sent
 * keeps the requests that are already admitted within their targets.
 */
public final class AdmissionRule {

	/**
	 * Maximum predicted latency relative to a request's target. Predictions have an error
	 * of about a fifth in either direction, so that most admitted requests meet the
	 * target.
	 */
	private static final double PREDICTION_TARGET_RATIO = 1.25;

	/** Maximum predicted latency relative to the time until the caller's deadline. */
	private static final double PREDICTION_REMAINING_RATIO = 0.7;

	/**
	 * Bounds of Retry-After: a shorter wait meets unchanged load, and callers give up on
	 * a longer one.
	 */
	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(200);

	static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(4);

	/**
	 * Connect timeout relative to a request's target; leaves time for another endpoint.
	 */
	private static final double CONNECT_TARGET_RATIO = 0.25;

	/**
	 * Minimum connect timeout: connecting takes a few ms within a region, and a shorter
	 * timeout would treat a busy VM as a dead one.
	 */
	private static final Duration MINIMUM_CONNECT_TIMEOUT = Duration.ofMillis(40);

	/**
	 * Maximum connect timeout: a lost packet is retransmitted after one second, by which
	 * time another endpoint would have answered.
	 */
	private static final Duration MAXIMUM_CONNECT_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Time without an answer after which a repeatable request is retried at another
	 * endpoint, relative to its latency target.
	 */
	private static final double RESPONSE_TIMEOUT_FACTOR = 2.0;

	/**
	 * Time without an event after which a stream is resumed at another endpoint, relative
	 * to the route's longest pause.
	 */
	private static final double STREAM_TIMEOUT_FACTOR = 2.0;

	/**
	 * Maximum time that a request waits for the first configuration, which is read soon
	 * after startup. A request that is rejected immediately is retried only once,
	 * possibly at a gateway that started no earlier; a request that waits longer is late
	 * anyway.
	 */
	private static final Duration MAXIMUM_STARTUP_WAIT = Duration.ofMillis(800);

	/**
	 * Divisor of a caller's deadline: a caller that is rejected after a quarter of its
	 * time can still retry elsewhere.
	 */
	private static final int DEADLINE_DIVISOR = 4;

	/**
	 * Decides whether a request is admitted.
	 * @param route the request's route
	 * @param predicted the predicted time to its answer or first event, if it is sent now
	 * @param elapsed the time since its arrival
	 * @param remaining the time until its caller's deadline
	 * @return the time after which the caller may retry, or zero if the request is
	 * admitted
	 */
	public Duration retryAfter(Route route, Duration predicted, Duration elapsed, Duration remaining) {
		Duration total = predicted.plus(elapsed);
		Duration allowed = scaled(route.latencyTarget(), PREDICTION_TARGET_RATIO);
		boolean exceedsTarget = total.compareTo(allowed) > 0;
		if (!exceedsTarget && !exceedsRemaining(predicted, remaining)) {
			return Duration.ZERO;
		}
		return clampRetryAfter(predicted.minus(route.latencyTarget().dividedBy(2)));
	}

	private static boolean exceedsRemaining(Duration predicted, Duration remaining) {
		return predicted.compareTo(scaled(remaining, PREDICTION_REMAINING_RATIO)) > 0;
	}

	/**
	 * Decides whether a stream that its caller resumes is admitted. Its first event has
	 * met the target or missed it; the events that the caller has are lost if it is
	 * rejected.
	 * @param predicted the predicted time to its next event, if it is sent now
	 * @param remaining the time until its caller's deadline
	 * @return the time after which the caller may retry, or zero if it is admitted
	 */
	public Duration retryAfterResumption(Duration predicted, Duration remaining) {
		return exceedsRemaining(predicted, remaining) ? clampRetryAfter(predicted.dividedBy(2)) : Duration.ZERO;
	}

	/**
	 * Returns the time after which a caller may retry a request that no endpoint accepts
	 * now. Unlike a prediction, the time until one does is known, and a caller that
	 * returned earlier would be rejected again.
	 * @param untilAccepted the time until an endpoint accepts it
	 * @return the time, at least the minimum of Retry-After
	 */
	public Duration retryAfter(Duration untilAccepted) {
		return (untilAccepted.compareTo(MINIMUM_RETRY_AFTER) < 0) ? MINIMUM_RETRY_AFTER : untilAccepted;
	}

	/**
	 * Returns the maximum time that a request waits for an available endpoint.
	 * @param route the request's route
	 * @param remaining the time until its caller's deadline
	 * @return the maximum wait
	 */
	public Duration maximumWait(Route route, Duration remaining) {
		Duration half = route.latencyTarget().dividedBy(2);
		Duration quarter = remaining.dividedBy(DEADLINE_DIVISOR);
		return (half.compareTo(quarter) < 0) ? half : quarter;
	}

	/**
	 * Returns the maximum time that a request waits for the configuration at startup.
	 * @param deadline the time until its caller's deadline, or {@code null} if unknown
	 * @return the maximum wait
	 */
	public Duration maximumStartupWait(@Nullable Duration deadline) {
		if (deadline == null) {
			return MAXIMUM_STARTUP_WAIT;
		}
		return clamp(deadline.dividedBy(DEADLINE_DIVISOR), Duration.ZERO, MAXIMUM_STARTUP_WAIT);
	}

	/**
	 * Returns the connect timeout, after which another endpoint is tried. A partitioned
	 * endpoint does not answer at all, and a request that waits for it is late at any
	 * other endpoint.
	 * @param route the request's route
	 * @return the timeout
	 */
	public Duration connectTimeout(Route route) {
		return clamp(scaled(route.latencyTarget(), CONNECT_TARGET_RATIO), MINIMUM_CONNECT_TIMEOUT,
				MAXIMUM_CONNECT_TIMEOUT);
	}

	/**
	 * Returns the time without an answer after which a repeatable request is retried.
	 * @param route the request's route
	 * @return the timeout
	 */
	public Duration responseTimeout(Route route) {
		return scaled(route.latencyTarget(), RESPONSE_TIMEOUT_FACTOR);
	}

	/**
	 * Returns the time without an event after which a stream is resumed at another
	 * endpoint.
	 * @param route the request's route
	 * @return the timeout
	 */
	public Duration streamTimeout(Route route) {
		return scaled(route.eventIntervalTarget(), STREAM_TIMEOUT_FACTOR);
	}

	static Duration clampRetryAfter(Duration duration) {
		return clamp(duration, MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER);
	}

	private static Duration clamp(Duration duration, Duration minimum, Duration maximum) {
		if (duration.compareTo(minimum) < 0) {
			return minimum;
		}
		return (duration.compareTo(maximum) > 0) ? maximum : duration;
	}

	private static Duration scaled(Duration duration, double factor) {
		return Duration.ofNanos((long) (duration.toNanos() * factor));
	}

}
