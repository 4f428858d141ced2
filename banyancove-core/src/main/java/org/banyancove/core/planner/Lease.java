package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;

import org.banyancove.core.Incarnation;

/**
 * A lease on a data center.
 *
 * @param holder the process that may plan
 * @param fence the fencing number: the offset of the record that acquired the lease
 * @param renewedAt the log's time of the latest record that acquired or renewed the lease
 * @param duration the duration from that time
 */
public record Lease(Incarnation holder, long fence, Instant renewedAt, Duration duration) {

	/**
	 * Returns whether the lease has expired.
	 * @param logTime the log's time
	 * @return whether another process can acquire it
	 */
	public boolean isExpired(Instant logTime) {
		return !logTime.isBefore(this.renewedAt.plus(this.duration));
	}

}
