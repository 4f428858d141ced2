package org.banyancove.core.routing;

import java.util.Arrays;

/**
 * The times of events since the last load report, so that the next report can remove the
 * events that it already includes.
 * <p>
 * Bounded in age and number; the oldest times are removed first. The end of a peer's
 * requests is known from load reports only. Without the bound, the estimated load of an
 * endpoint whose reports stop would grow with each heartbeat of a peer until no request
 * is admitted, and each counter would grow to its maximum size.
 */
final class RecentEventCounter {

	private static final double[] NO_TIMES = {};

	private static final int INITIAL_CAPACITY = 4;

	private static final int MAXIMUM_SIZE = 512;

	/** Reports lag by one to two seconds; older events do not affect the current load. */
	static final double RETENTION_SECONDS = 10;

	private double[] times = NO_TIMES;

	private int size;

	void add(double time) {
		if (this.size > 0 && this.times[0] <= time - RETENTION_SECONDS) {
			removeUntil(time - RETENTION_SECONDS);
		}
		if (this.size == MAXIMUM_SIZE) {
			removeFirst(1);
		}
		if (this.size == this.times.length) {
			this.times = Arrays.copyOf(this.times, Math.max(INITIAL_CAPACITY, this.size * 2));
		}
		this.times[this.size] = time;
		this.size++;
	}

	void removeUntil(double time) {
		int expired = 0;
		while (expired < this.size && this.times[expired] <= time) {
			expired++;
		}
		removeFirst(expired);
	}

	int count() {
		return this.size;
	}

	private void removeFirst(int count) {
		System.arraycopy(this.times, count, this.times, 0, this.size - count);
		this.size -= count;
		if (this.size == 0) {
			this.times = NO_TIMES;
		}
	}

}
