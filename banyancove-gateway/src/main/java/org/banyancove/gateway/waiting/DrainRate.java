package org.banyancove.gateway.waiting;

import org.jspecify.annotations.Nullable;

/**
 * The engine time of the requests that a gateway started in the last second.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
public final class DrainRate {

	private static final long WINDOW_NANOS = 1_000_000_000L;

	private static final int SLOTS = 20;

	private static final long SLOT_NANOS = WINDOW_NANOS / SLOTS;

	private final double[] millisBySlot = new double[SLOTS];

	private long slotStartAt;

	private int currentSlot;

	private @Nullable Long busySince;

	/**
	 * Creates the rate, which is unknown.
	 * @param now the current time
	 */
	public DrainRate(long now) {
		this.slotStartAt = now;
	}

	/**
	 * Records a request that is sent to an endpoint.
	 * @param workMillis the engine time that it needs, in ms
	 * @param now the current time
	 */
	public void record(double workMillis, long now) {
		advance(now);
		if (this.busySince == null) {
			this.busySince = now;
		}
		this.millisBySlot[this.currentSlot] += workMillis;
	}

	/**
	 * Returns the rate at which work is started.
	 * @param now the current time
	 * @return the engine time in ms per second, 0 if it is unknown because nothing was
	 * started until a second ago
	 */
	public double millisPerSecond(long now) {
		advance(now);
		return (this.busySince != null && now - this.busySince >= WINDOW_NANOS) ? sum() : 0;
	}

	// After a second without work, the rate is learned again: a rate that includes idle
	// time says nothing about how fast the endpoints take requests.
	private void advance(long now) {
		int steps = (int) Math.min(SLOTS, (now - this.slotStartAt) / SLOT_NANOS);
		for (int step = 0; step < steps; step++) {
			this.currentSlot = (this.currentSlot + 1) % SLOTS;
			this.millisBySlot[this.currentSlot] = 0;
		}
		if (steps > 0) {
			this.slotStartAt = (steps < SLOTS) ? this.slotStartAt + steps * SLOT_NANOS : now;
			this.busySince = (sum() > 0) ? this.busySince : null;
		}
	}

	private double sum() {
		double sum = 0;
		for (double millis : this.millisBySlot) {
			sum += millis;
		}
		return sum;
	}

}
