package org.banyancove.core.burn;

import java.util.List;

/**
 * The burn over one window.
 *
 * @param window the window
 * @param total the number of requests that count
 * @param missed the number of those that missed the profile's targets
 * @param rate the ratio of the missed share to the share that the objective allows: 1
 * spends the budget exactly by the end of its period; 0 without requests
 * @param budgetSpent the share of the three days' budget that was spent in the window;
 * above 1 the objective is missed
 */
public record WindowBurn(BurnWindow window, long total, long missed, double rate, double budgetSpent) {

	static WindowBurn over(List<WindowBurn> burns, BurnWindow window) {
		for (WindowBurn burn : burns) {
			if (burn.window() == window) {
				return burn;
			}
		}
		throw new IllegalArgumentException("No burn over " + window + " in " + burns);
	}

}
