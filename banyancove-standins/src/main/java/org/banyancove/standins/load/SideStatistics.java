package org.banyancove.standins.load;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * The measured results of one side, by kind. This class is thread-safe.
 */
final class SideStatistics {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1_000;

	private final String side;

	private final Map<PlannedRequest.Kind, KindStatistics> kinds = new EnumMap<>(PlannedRequest.Kind.class);

	SideStatistics(String side) {
		this.side = side;
	}

	synchronized void record(PlannedRequest.Kind kind, CallResult result) {
		KindStatistics statistics = this.kinds.computeIfAbsent(kind, (key) -> new KindStatistics());
		statistics.outcomes.merge(result.outcome(), 1L, Long::sum);
		if (result.isSuccess()) {
			statistics.firstToken.recordValue(micros(result.firstToken()));
			statistics.total.recordValue(micros(result.total()));
		}
	}

	synchronized List<LoadReport.Line> lines(Duration elapsed) {
		return this.kinds.entrySet().stream().map((entry) -> line(entry.getKey(), entry.getValue(), elapsed)).toList();
	}

	private LoadReport.Line line(PlannedRequest.Kind kind, KindStatistics statistics, Duration elapsed) {
		long succeeded = statistics.total.getTotalCount();
		double perSecond = succeeded * 1e9 / Math.max(1, elapsed.toNanos());
		return new LoadReport.Line(this.side, kind.name().toLowerCase(Locale.ROOT), succeeded, perSecond,
				millis(statistics.firstToken, 50), millis(statistics.firstToken, 99), millis(statistics.total, 50),
				millis(statistics.total, 99), Map.copyOf(statistics.outcomes));
	}

	private static long micros(Duration duration) {
		return Math.max(0, duration.toNanos() / 1_000);
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	private static final class KindStatistics {

		private final Map<String, Long> outcomes = new TreeMap<>();

		private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);

		private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);

	}

}
