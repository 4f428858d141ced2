package org.banyancove.gateway.migration;

import org.jspecify.annotations.Nullable;

/**
 * A stream in progress. Times are nanoseconds of the monotonic clock.
 *
 * @param leavesAt when its endpoint leaves, or {@code null} if it is not announced
 * @param beganAt when its first event was forwarded, or {@code null} if none was
 * @param events the number of events forwarded
 * @param maximumEvents the number of events after which it ends at the latest, 0 if it is
 * unknown
 */
public record RunningStream(@Nullable Long leavesAt, @Nullable Long beganAt, int events, int maximumEvents) {

	/**
	 * Creates the stream.
	 * @throws IllegalArgumentException if a number of events is negative
	 */
	public RunningStream {
		if (events < 0 || maximumEvents < 0) {
			throw new IllegalArgumentException(
					"events and maximumEvents must not be negative: " + events + ", " + maximumEvents);
		}
	}

	/**
	 * Returns when the stream ends at the latest, if its events keep their mean interval.
	 * @param now the current time
	 * @return the time, or {@code null} if the interval or the number of events is
	 * unknown
	 */
	@Nullable Long expectedEnd(long now) {
		if (this.beganAt == null || this.events < 2 || this.maximumEvents == 0) {
			return null;
		}
		double interval = (double) (now - this.beganAt) / (this.events - 1);
		return now + Math.round(interval * Math.max(0, this.maximumEvents - this.events));
	}

}
