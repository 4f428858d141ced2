package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The rejections in a second that each endpoint of a service bears, as the endpoints
 * announce it in their answers, and this gateway's demand for their places.
 * <p>
 * What one endpoint announces holds for all endpoints of its service. Times are
 * nanoseconds of the monotonic clock.
 */
final class RejectionTolerance {

	/** Time after the latest announcement at which it ends. */
	private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(3);

	/** Part of the recent requests without a place from which on demand is excessive. */
	private static final double EXCESS_SHARE = 0.25;

	/** Time constant of the recent requests, in ns. */
	private static final double DEMAND_DECAY_NANOS = 2e9;

	private @Nullable Double announced;

	private double placed;

	private double unplaced;

	private long demandAt;

	private long announcedAt;

	/**
	 * Records an announcement.
	 * @param rejectionsPerSecond the rejections in a second that an endpoint bears
	 * @param now the current time
	 * @return whether there was no announcement before
	 */
	boolean announce(double rejectionsPerSecond, long now) {
		boolean began = current(now) == null;
		this.announced = rejectionsPerSecond;
		this.announcedAt = now;
		return began;
	}

	/**
	 * Returns the tolerated rejections.
	 * @param now the current time
	 * @return the rejections in a second, or {@code null} if no limit is announced
	 */
	@Nullable Double current(long now) {
		return (now - this.announcedAt < ANNOUNCEMENT_TIMEOUT.toNanos()) ? this.announced : null;
	}

	/**
	 * Records whether a request found a place at any endpoint.
	 * @param found whether it did
	 * @param now the current time
	 */
	void recordDemand(boolean found, long now) {
		double decay = Math.exp((this.demandAt - now) / DEMAND_DECAY_NANOS);
		this.demandAt = now;
		this.placed = this.placed * decay + (found ? 1 : 0);
		this.unplaced = this.unplaced * decay + (found ? 0 : 1);
	}

	/**
	 * Returns whether many requests found no place lately, so that each one that becomes
	 * free is in demand at many gateways.
	 * @return whether demand exceeds the places
	 */
	boolean excessDemand() {
		return this.unplaced > EXCESS_SHARE * (this.placed + this.unplaced);
	}

}
