package org.banyancove.gateway.admission;

import java.time.Duration;

import org.banyancove.gateway.configuration.Route;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a request is sent on or rejected at once.
 * <p>
 * More prompts than the engines can read. Without a limit each engine's queue grows until
 * every first event is late, and prefill is spent on requests whose callers have timed
 * out. A request whose answer is predicted past its target is worth a tenth; rejecting it
 * before it is sent keeps those in time that are already there.
 */
public final class AdmissionRule {

	/**
	 * Of a request's target, the part that its prediction may take: predictions are off
	 * by a fifth either way, so that most that are sent are in time.
	 */
	private static final double SHARE_OF_TARGET = 1.25;

	/** Of the time that a caller still waits, the part that its prediction may take. */
	private static final double SHARE_OF_REMAINING = 0.7;

	/**
	 * Bounds of Retry-After: below, nothing has changed; above, callers give up.
	 */
	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(200);

	private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(4);

	/**
	 * Of a request's target, the part that a connection may take: then there is time for
	 * another endpoint.
	 */
	private static final double SHARE_TO_CONNECT = 0.25;

	/**
	 * A connection takes some ms within a region; below this, a busy VM would be taken
	 * for a dead one.
	 */
	private static final Duration MINIMUM_CONNECT = Duration.ofMillis(40);

	/**
	 * A lost packet is sent again after a second, when another endpoint has long
	 * answered.
	 */
	private static final Duration MAXIMUM_CONNECT = Duration.ofMillis(300);

	/**
	 * Silence after which a repeatable request tries another endpoint, in targets.
	 */
	private static final double SILENCE_TARGETS = 2.0;

	/** Silence within a stream after which it goes on elsewhere, in longest pauses. */
	private static final double SILENCE_PAUSES = 2.0;

	/**
	 * How long a request waits at most for the first configuration, which is read soon
	 * after a start. Rejected at once, it would come back only once, to a gateway that
	 * may have started no sooner; held for longer, it would be late anyway.
	 */
	private static final Duration MAXIMUM_STARTUP_WAIT = Duration.ofMillis(800);

	/** A caller that is rejected after a quarter of its time can still go elsewhere. */
	private static final int PARTS_OF_DEADLINE = 4;

	/**
	 * Decides on a request.
	 * @param route its route
	 * @param predicted the time to its answer or first event, if it is sent now
	 * @param elapsed since it arrived
	 * @param remaining until its caller gives up
	 * @return how long the caller is to stay away, or zero if the request is sent
	 */
	public Duration retryAfter(Route route, Duration predicted, Duration elapsed, Duration remaining) {
		Duration total = predicted.plus(elapsed);
		Duration allowed = scaled(route.latencyTarget(), SHARE_OF_TARGET);
		boolean late = total.compareTo(allowed) > 0;
		boolean tooLate = predicted.compareTo(scaled(remaining, SHARE_OF_REMAINING)) > 0;
		if (!late && !tooLate) {
			return Duration.ZERO;
		}
		return clamp(predicted.minus(route.latencyTarget().dividedBy(2)), MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER);
	}

	/**
	 * Returns how long a caller is to stay away whose request no endpoint accepts yet.
	 * @param untilAccepted the time until one does
	 * @return the time, within the bounds of Retry-After
	 */
	public Duration retryAfter(Duration untilAccepted) {
		return clamp(untilAccepted, MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER);
	}

	/**
	 * Returns how long a request may wait for an endpoint while there is none.
	 * @param route its route
	 * @param remaining until its caller gives up
	 * @return the time
	 */
	public Duration maximumWait(Route route, Duration remaining) {
		Duration half = route.latencyTarget().dividedBy(2);
		Duration quarter = remaining.dividedBy(PARTS_OF_DEADLINE);
		return (half.compareTo(quarter) < 0) ? half : quarter;
	}

	/**
	 * Returns how long a request may wait for the configuration of a process that starts.
	 * @param deadline how long its caller waits, or {@code null} if it is not stated
	 * @return the time
	 */
	public Duration maximumStartupWait(@Nullable Duration deadline) {
		if (deadline == null) {
			return MAXIMUM_STARTUP_WAIT;
		}
		return clamp(deadline.dividedBy(PARTS_OF_DEADLINE), Duration.ZERO, MAXIMUM_STARTUP_WAIT);
	}

	/**
	 * Returns how long a connection may take until another endpoint is tried. Endpoints
	 * that are cut off don't answer at all, and a request that waited for one is late
	 * anywhere.
	 * @param route the request's route
	 * @return the time
	 */
	public Duration connectTimeout(Route route) {
		return clamp(scaled(route.latencyTarget(), SHARE_TO_CONNECT), MINIMUM_CONNECT, MAXIMUM_CONNECT);
	}

	/**
	 * Returns the time without an answer after which a repeatable request is retried.
	 * @param route the request's route
	 * @return the time
	 */
	public Duration responseTimeout(Route route) {
		return scaled(route.latencyTarget(), SILENCE_TARGETS);
	}

	/**
	 * Returns the pause after which a stream is resumed at another endpoint.
	 * @param route the request's route
	 * @return the time
	 */
	public Duration streamTimeout(Route route) {
		return scaled(route.longestPause(), SILENCE_PAUSES);
	}

	private static Duration clamp(Duration duration, Duration least, Duration most) {
		if (duration.compareTo(least) < 0) {
			return least;
		}
		return (duration.compareTo(most) > 0) ? most : duration;
	}

	private static Duration scaled(Duration duration, double factor) {
		return Duration.ofNanos((long) (duration.toNanos() * factor));
	}

}
