package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.TreeMap;

/**
 * The maximum of the values added within a sliding time window.
 */
final class SlidingWindowMaximum {

	private final TreeMap<Long, Double> values = new TreeMap<>();

	private final Duration window;

	SlidingWindowMaximum(Duration window) {
		this.window = window;
	}

	/**
	 * Returns whether no value has been added.
	 * @return {@code true} if there is no value
	 */
	boolean isEmpty() {
		return this.values.isEmpty();
	}

	/**
	 * Adds a value.
	 * @param value the value
	 * @param now the current time, in ns of the monotonic clock
	 * @return the maximum within the window
	 */
	double add(double value, long now) {
		this.values.put(now, value);
		this.values.headMap(now - this.window.toNanos()).clear();
		return this.values.values().stream().mapToDouble(Double::doubleValue).max().orElse(value);
	}

}
