package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The time that work takes on an endpoint's machine at this moment relative to the usual
 * time, as the endpoint announces it with its answers.
 * <p>
 * An endpoint that shares its machine becomes several times slower for some hundred
 * milliseconds. That is too short to learn it from the latency of requests: each gateway
 * would send several requests there before it knows. The newest announcement to any
 * gateway counts, and decays towards 1.
 * <p>
 * Belongs to one process of the endpoint. Times are nanoseconds of the monotonic clock.
 */
public final class EndpointSlowdown {

	/** Bounds of an announced value. */
	private static final double MINIMUM = 0.2;

	private static final double MAXIMUM = 20;

	/**
	 * Time constant of the decay, in ns: endpoints announce changes many times per
	 * second.
	 */
	private static final double DECAY_NANOS = 600e6;

	/**
	 * Time for which an announcement is reported to the other gateways: several reports
	 * of a small group and two of a large one, so that a lost datagram is made good.
	 */
	private static final Duration REPORT_DURATION = Duration.ofSeconds(1);

	/** Age at which nothing is left of an announcement, beyond 1e-6 of it. */
	private static final Duration MAXIMUM_AGE = Duration.ofSeconds(10);

	/** Value above which an endpoint counts as slowed for operators. */
	private static final double SLOWED_THRESHOLD = 1.5;

	private @Nullable Announcement heard;

	private @Nullable Announcement newest;

	/**
	 * Records the value that the endpoint announced in an answer to this gateway.
	 * @param value the time that work takes relative to the usual time; beyond the bounds
	 * of 0.2 and 20, the nearest bound counts
	 * @param now the current time
	 * @throws IllegalArgumentException if {@code value} is not positive
	 */
	public void announce(double value, long now) {
		Announcement announcement = new Announcement(bounded(value), now);
		this.heard = announcement;
		this.newest = announcement;
	}

	/**
	 * Records a value that the endpoint announced to another gateway. One that is older
	 * than the newest known value is ignored.
	 * @param value the time that work takes relative to the usual time; beyond the bounds
	 * of 0.2 and 20, the nearest bound counts
	 * @param age the time since the announcement
	 * @param now the current time
	 * @throws IllegalArgumentException if {@code value} is not positive or {@code age} is
	 * negative
	 */
	public void observe(double value, Duration age, long now) {
		if (age.isNegative()) {
			throw new IllegalArgumentException("age must not be negative: " + age);
		}
		double bounded = bounded(value);
		if (age.compareTo(MAXIMUM_AGE) > 0) {
			return;
		}
		long at = now - age.toNanos();
		if (this.newest == null || at - this.newest.at() > 0) {
			this.newest = new Announcement(bounded, at);
		}
	}

	private static double bounded(double value) {
		if (!(value > 0)) {
			throw new IllegalArgumentException("value must be positive: " + value);
		}
		return Math.clamp(value, MINIMUM, MAXIMUM);
	}

	/**
	 * Returns the current estimate.
	 * @param now the current time
	 * @return the time that work takes relative to the usual time; exactly 1 if the
	 * endpoint announced none
	 */
	public double current(long now) {
		Announcement announcement = this.newest;
		if (announcement == null) {
			return 1;
		}
		return 1 + (announcement.value() - 1) * Math.exp(-announcement.ageNanos(now) / DECAY_NANOS);
	}

	/**
	 * Returns whether the endpoint announced a value to any gateway.
	 * @return whether a value is known, however old
	 */
	public boolean announced() {
		return this.newest != null;
	}

	/**
	 * Returns whether the endpoint is considerably slower than usual.
	 * @param now the current time
	 * @return whether the current estimate is above 1.5
	 */
	public boolean slowed(long now) {
		return current(now) > SLOWED_THRESHOLD;
	}

	/**
	 * Returns the announcement to report to the other gateways. What was heard from them
	 * is not repeated to them: it would seem newer than it is by each transit.
	 * @param startedAt the start time of the endpoint's process
	 * @param now the current time
	 * @return the latest announcement to this gateway, or {@code null} if there is none
	 * that is recent
	 */
	@Nullable ObservedSlowdown observed(long startedAt, long now) {
		Announcement announcement = this.heard;
		if (announcement == null || announcement.ageNanos(now) > REPORT_DURATION.toNanos()) {
			return null;
		}
		return new ObservedSlowdown(announcement.value(), Duration.ofNanos(announcement.ageNanos(now)), startedAt);
	}

	private record Announcement(double value, long at) {

		long ageNanos(long now) {
			return Math.max(0, now - this.at);
		}

	}

}
