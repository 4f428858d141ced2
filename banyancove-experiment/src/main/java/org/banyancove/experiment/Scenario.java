package org.banyancove.experiment;

import java.util.Locale;

/**
 * A scenario: the load as a fraction of the endpoints' capacity, and the faults.
 */
enum Scenario {

	/** Well below the endpoints' capacity. */
	CALM(0.6),

	/** Exactly the endpoints' capacity. */
	FULL(1.0),

	/** One and a half times the endpoints' capacity. */
	OVERLOAD(1.5),

	/** Three times the endpoints' capacity. */
	TRIPLE(3.0),

	/** A zone is reclaimed with seconds of notice and restarts later. */
	RECLAIM_WAVE(0.6);

	private final double load;

	Scenario(double load) {
		this.load = load;
	}

	double load() {
		return this.load;
	}

	static Scenario parse(String text) {
		return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
