package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The rejections in a second that each endpoint of a service bears, as the endpoints
 * announce it in their answers.
 * <p>
 * What one endpoint announces holds for all endpoints of its service. Times are
 * nanoseconds of the monotonic clock.
 */
final class RejectionTolerance {

	/** Time after the latest announcement at which it ends. */
	private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(3);

	private @Nullable Double announced;

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

}
