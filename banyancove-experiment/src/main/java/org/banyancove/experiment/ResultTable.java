package org.banyancove.experiment;

import java.util.List;
import java.util.Locale;

/**
 * Formats results as a text table.
 */
final class ResultTable {

	private ResultTable() {
	}

	static String format(List<RunResult> results) {
		StringBuilder table = new StringBuilder();
		table
			.append(String.format(Locale.ROOT,
					"%-12s %-12s %-16s %7s %6s %6s %7s %7s %7s %8s %9s %9s %11s %9s %9s %7s %7s"
							+ " %8s %6s %7s %6s %7s%n",
					"user", "scenario", "policy", "entries", "seed", "limits", "met", "late", "slow", "good/s",
					"busy/1k", "fleet/1k", "recomputed", "p50 ms", "p99 ms", "refused", "small", "ref. ms", "failed",
					"retries", "moved", "orders"));
		for (RunResult result : results) {
			table.append(row(result));
		}
		return table.toString();
	}

	private static String row(RunResult result) {
		return String.format(Locale.ROOT,
				"%-12s %-12s %-16s %7d %6d %6s %7.4f %7.4f %7.4f %8.2f %9.3f %9.3f %11d %9.0f"
						+ " %9.0f %7.4f %7.4f %8.1f %6d %7.4f %6d %7.4f%n",
				result.user(), result.scenario(), result.policy(), result.entries(), result.seed(),
				(result.limits() ? "on" : "off"), result.metShare(), result.lateShare(), result.slowShare(),
				result.goodputPerSecond(), result.busyCostPerThousandMet(), result.fleetCostPerThousandMet(),
				result.recomputedTokens(), result.firstTokenMillisP50(), result.firstTokenMillisP99(),
				result.refusedShare(), result.refusedShareOfSmall(), result.refusedMedianMillis(), result.failed(),
				result.retriesPerRequest(), result.moved(), result.ordersMetShare());
	}

}
