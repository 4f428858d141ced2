package org.banyancove.core.routing;

/**
 * Adaptive limit on the number of this entry's concurrent requests at an endpoint.
 * <p>
 * A limit on all requests, including those of other entries, would starve an entry:
 * entries with higher limits fill the endpoint, and the entry never sends the requests
 * that would raise its own limit. With separate limits each entry obtains its share, like
 * connections that share a link. Each entry raises its limit in proportion to its share
 * of the endpoint's requests, so that many entries together probe no faster than a single
 * one.
 * <p>
 * The limit of an endpoint that is new or live again starts low and doubles with each
 * round of timely answers (slow start), so that queued requests do not overload it. After
 * the first late answer, the limit increases additively by one per round and decreases
 * multiplicatively (AIMD).
 */
final class ConcurrencyLimit {

	static final double INITIAL_LIMIT = 2;

	private static final double MINIMUM_LIMIT = 1;

	private static final double MAXIMUM_LIMIT = 1024;

	private static final double MAXIMUM_DECREASE_FACTOR = 0.9;

	/** Bounds the effect of a single very late answer. */
	private static final double MINIMUM_DECREASE_FACTOR = 0.5;

	private static final double OVERLOAD_DECREASE_FACTOR = 0.7;

	/** Share of the limit that must be in use for a timely answer to raise it. */
	private static final double MINIMUM_UTILIZATION = 0.6;

	private double limit = INITIAL_LIMIT;

	private boolean slowStart = true;

	private double decreasedAt = Double.NEGATIVE_INFINITY;

	double value() {
		return this.limit;
	}

	boolean isSlowStart() {
		return this.slowStart;
	}

	void reset() {
		this.limit = MINIMUM_LIMIT;
		this.slowStart = true;
		this.decreasedAt = Double.NEGATIVE_INFINITY;
	}

	/**
	 * Records a timely answer.
	 * @param ownInFlight the number of this entry's requests at the endpoint
	 * @param share the share of the endpoint's requests that were sent by this entry
	 */
	void recordTimely(double ownInFlight, double share) {
		if (ownInFlight < this.limit * MINIMUM_UTILIZATION) {
			return;
		}
		double growth = (this.slowStart ? share : share / this.limit);
		this.limit = Math.min(MAXIMUM_LIMIT, this.limit + growth);
	}

	/**
	 * Records a late answer. Answers to requests sent before the last decrease do not
	 * reflect the lower limit and are ignored.
	 * @param ratio the duration of the answer divided by the longest timely duration
	 * @param sentAt when the late request was sent
	 * @param now the current time
	 */
	void recordLate(double ratio, double sentAt, double now) {
		decrease(Math.clamp(1 / ratio, MINIMUM_DECREASE_FACTOR, MAXIMUM_DECREASE_FACTOR), sentAt, now);
	}

	void recordOverload(double sentAt, double now) {
		decrease(OVERLOAD_DECREASE_FACTOR, sentAt, now);
	}

	private void decrease(double factor, double sentAt, double now) {
		if (sentAt <= this.decreasedAt) {
			return;
		}
		this.slowStart = false;
		this.limit = Math.max(MINIMUM_LIMIT, this.limit * factor);
		this.decreasedAt = now;
	}

}
