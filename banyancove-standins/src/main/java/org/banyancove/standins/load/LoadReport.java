package org.banyancove.standins.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The measurements of a load.
 *
 * @param seed the seed
 * @param concurrency the maximum number of requests in flight
 * @param perSecond the configured request rate, zero for a closed loop
 * @param seconds the duration of the measured part
 * @param lines the results of each side and kind
 */
public record LoadReport(long seed, int concurrency, double perSecond, double seconds, List<Line> lines) {

	/**
	 * Creates the report with a copy of the list.
	 */
	public LoadReport {
		lines = List.copyOf(lines);
	}

	/**
	 * Returns whether all successful responses were complete and correct. Rejections
	 * count as neither incomplete nor incorrect; their outcomes distinguish them by code.
	 * @return whether no response was incomplete or incorrect
	 */
	public boolean allCompleteAndCorrect() {
		return this.lines.stream()
			.noneMatch((line) -> line.outcomes().containsKey(CallResult.INCOMPLETE)
					|| line.outcomes().containsKey(CallResult.INCORRECT));
	}

	/**
	 * Formats the report as a table.
	 * @return the table, with times in milliseconds
	 */
	public String toTable() {
		StringBuilder table = new StringBuilder(
				String.format(Locale.ROOT, "seed %d, concurrency %d, rate %s, %.1f s; milliseconds%n", this.seed,
						this.concurrency, (this.perSecond > 0) ? this.perSecond + "/s" : "closed loop", this.seconds));
		table.append(String.format(Locale.ROOT, "%-8s %-5s %9s %9s %10s %10s %10s %10s  %s%n", "side", "kind",
				"succeeded", "per s", "first p50", "first p99", "total p50", "total p99", "outcomes"));
		for (Line line : this.lines) {
			table.append(String.format(Locale.ROOT, "%-8s %-5s %9d %9.1f %10.3f %10.3f %10.3f %10.3f  %s%n",
					line.side(), line.kind(), line.succeeded(), line.perSecond(), line.firstTokenP50(),
					line.firstTokenP99(), line.totalP50(), line.totalP99(), line.outcomes()));
		}
		return table.toString();
	}

	/**
	 * The results of one side and kind. Times are in milliseconds and of successful
	 * requests only.
	 *
	 * @param side {@code target} or {@code direct}
	 * @param kind {@code chat} or {@code call}
	 * @param succeeded the number of complete and correct responses
	 * @param perSecond the number of such responses per second
	 * @param firstTokenP50 the median time to the first token
	 * @param firstTokenP99 the 99th percentile of the time to the first token
	 * @param totalP50 the median total time
	 * @param totalP99 the 99th percentile of the total time
	 * @param outcomes the number of requests by outcome
	 */
	public record Line(String side, String kind, long succeeded, double perSecond, double firstTokenP50,
			double firstTokenP99, double totalP50, double totalP99, Map<String, Long> outcomes) {
	}

}
