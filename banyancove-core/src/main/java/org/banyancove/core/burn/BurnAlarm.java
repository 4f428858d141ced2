package org.banyancove.core.burn;

/**
 * The burn-rate alarms. Each requires a rate over a long and a short window: the long
 * window prevents alarms for a few failed requests, the short window ends the alarm soon
 * after the cause was removed.
 */
public enum BurnAlarm {

	/** This rate spends a month's budget in two days and requires immediate action. */
	FAST(14.4, BurnWindow.ONE_HOUR, BurnWindow.FIVE_MINUTES),

	/**
	 * This rate spends a month's budget in five days and requires action the same day.
	 */
	SLOW(6, BurnWindow.SIX_HOURS, BurnWindow.THIRTY_MINUTES);

	private static final double MISSED_SHARE_THRESHOLD = 0.75;

	private final double rate;

	private final BurnWindow longWindow;

	private final BurnWindow shortWindow;

	BurnAlarm(double rate, BurnWindow longWindow, BurnWindow shortWindow) {
		this.rate = rate;
		this.longWindow = longWindow;
		this.shortWindow = shortWindow;
	}

	/**
	 * Returns the burn rate at which the alarm is raised.
	 * @return the rate, where 1 spends the budget exactly by the end of its period
	 */
	public double rate() {
		return this.rate;
	}

	/**
	 * Returns the burn rate at which the alarm is raised for an objective. A rate cannot
	 * exceed the reciprocal of the share that may be missed: 10 for an objective of 0.9,
	 * for which an alarm at 14.4 would not be raised while every request fails. Such an
	 * alarm is raised when three quarters of the requests are missed.
	 * @param objective the share of requests that should meet the targets
	 * @return the rate
	 */
	public double rateFor(double objective) {
		return Math.min(this.rate, MISSED_SHARE_THRESHOLD / (1 - objective));
	}

	/**
	 * Returns the window that detects the burn.
	 * @return the longer window
	 */
	public BurnWindow longWindow() {
		return this.longWindow;
	}

	/**
	 * Returns the window that confirms that the burn continues.
	 * @return the shorter window
	 */
	public BurnWindow shortWindow() {
		return this.shortWindow;
	}

}
