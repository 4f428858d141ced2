package org.banyancove.core.burn;

import java.time.Duration;

/**
 * The windows, each ending at the report's time, over which burn is measured.
 */
public enum BurnWindow {

	/** Five minutes: confirms that a fast burn continues. */
	FIVE_MINUTES("5m", Duration.ofMinutes(5)),

	/** Thirty minutes: confirms that a slow burn continues. */
	THIRTY_MINUTES("30m", Duration.ofMinutes(30)),

	/** One hour: detects a fast burn. */
	ONE_HOUR("1h", Duration.ofHours(1)),

	/** Six hours: detects a slow burn. */
	SIX_HOURS("6h", Duration.ofHours(6)),

	/** Three days: the period of the budget. */
	THREE_DAYS("3d", Duration.ofDays(3));

	private final String label;

	private final Duration length;

	BurnWindow(String label, Duration length) {
		this.label = label;
		this.length = length;
	}

	/**
	 * Returns the window's label.
	 * @return the label, such as {@code 6h}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the window's length.
	 * @return the length, in whole minutes
	 */
	public Duration length() {
		return this.length;
	}

}
