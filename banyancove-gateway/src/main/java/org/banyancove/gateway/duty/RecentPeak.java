package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.TreeMap;

/**
 * The highest of the values of late.
 */
final class RecentPeak {

	private final TreeMap<Long, Double> values = new TreeMap<>();

	private final Duration memory;

	RecentPeak(Duration memory) {
		this.memory = memory;
	}

	/**
	 * Returns whether no value was added yet.
	 * @return whether there is none
	 */
	boolean isEmpty() {
		return this.values.isEmpty();
	}

	/**
	 * Adds a value.
	 * @param value the value
	 * @param now the present time, in ns of the steady clock
	 * @return the highest value of late
	 */
	double add(double value, long now) {
		this.values.put(now, value);
		this.values.headMap(now - this.memory.toNanos()).clear();
		return this.values.values().stream().mapToDouble(Double::doubleValue).max().orElse(value);
	}

}
