package org.banyancove.burn;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import org.banyancove.core.burn.BurnAlarm;
import org.banyancove.core.burn.BurnRow;
import org.banyancove.core.burn.BurnWindow;
import org.banyancove.core.burn.WindowBurn;

/**
 * Formats the report as a text table.
 */
final class BurnTableFormatter {

	private BurnTableFormatter() {
	}

	static String format(List<BurnRow> rows) {
		StringBuilder text = new StringBuilder();
		text.append("%-20s %-20s %9s %8s".formatted("profile", "account", "objective", "requests"));
		for (BurnWindow window : BurnWindow.values()) {
			text.append(" %8s".formatted("x" + window.label()));
		}
		text.append(" %9s  %s%n".formatted("spent 3d", "alarms"));
		for (BurnRow row : rows) {
			text.append(line(row));
		}
		text.append(
				"x5m to x3d: burn rate over the window, 1 consumes exactly the error budget; spent 3d: share of it.");
		return text.toString();
	}

	/**
	 * Formats a row's alarms.
	 * @param row the row
	 * @return the names, separated by commas, or a dash if there is none
	 */
	static String alarms(BurnRow row) {
		if (row.alarms().isEmpty()) {
			return "-";
		}
		return String.join(",",
				row.alarms()
					.stream()
					.sorted(Comparator.naturalOrder())
					.map(BurnAlarm::name)
					.map((name) -> name.toLowerCase(Locale.ROOT))
					.toList());
	}

	private static String line(BurnRow row) {
		WindowBurn budgetPeriod = row.burnOver(BurnWindow.THREE_DAYS);
		StringBuilder text = new StringBuilder("%-20s %-20s %9s %8d".formatted(row.key().profile(),
				row.key().accountLabel(), row.objective(), budgetPeriod.total()));
		for (WindowBurn burn : row.windows()) {
			text.append(" %8.2f".formatted(burn.rate()));
		}
		return text.append(" %8.1f%%  %s%n".formatted(100 * budgetPeriod.budgetSpent(), alarms(row))).toString();
	}

}
