package org.banyancove.core.burn;

import java.util.List;
import java.util.Set;

/**
 * The burn of one profile and account.
 *
 * @param key the profile and account
 * @param objective the share of requests that should meet the targets
 * @param windows the burn over each window, in the order of {@link BurnWindow}
 * @param alarms the raised alarms
 */
public record BurnRow(BurnKey key, double objective, List<WindowBurn> windows, Set<BurnAlarm> alarms) {

	/**
	 * Creates the row with immutable copies.
	 */
	public BurnRow {
		windows = List.copyOf(windows);
		alarms = Set.copyOf(alarms);
	}

	/**
	 * Returns the burn over a window.
	 * @param window the window
	 * @return the burn
	 */
	public WindowBurn burnOver(BurnWindow window) {
		return WindowBurn.over(this.windows, window);
	}

}
