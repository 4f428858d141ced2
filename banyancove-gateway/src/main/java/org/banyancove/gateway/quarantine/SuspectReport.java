package org.banyancove.gateway.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.banyancove.core.suspect.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * What gateways report to each other about a request that may crash endpoints.
 *
 * @param crashes the crashes of endpoints that had the request, the most recent last
 * @param answeredAge the time since an endpoint completed the request, or {@code null} if
 * none did recently
 */
public record SuspectReport(List<CrashObservation> crashes, @Nullable Duration answeredAge) {

	/** Crashes in a report; a few more than a quarantine requires. */
	private static final int MAXIMUM_CRASHES = 8;

	private static final Comparator<CrashObservation> MOST_RECENT_LAST = Comparator.comparing(CrashObservation::lostAge)
		.reversed();

	/**
	 * Orders the reports closest to a quarantine first, the most recent of them first.
	 */
	private static final Comparator<SuspectReport> MOST_RELEVANT_FIRST = Comparator
		.comparingInt((SuspectReport report) -> report.crashes().size())
		.reversed()
		.thenComparing(SuspectReport::age);

	/**
	 * Creates the report.
	 */
	public SuspectReport {
		crashes = List.copyOf(crashes);
	}

	/**
	 * Returns this report with its ages increased.
	 * @param elapsed the time to add
	 * @return the aged report
	 */
	public SuspectReport after(Duration elapsed) {
		return new SuspectReport(this.crashes.stream().map((crash) -> crash.after(elapsed)).toList(),
				(this.answeredAge != null) ? this.answeredAge.plus(elapsed) : null);
	}

	/**
	 * Merges two reports on the same request.
	 * @param other the other report
	 * @return the merged report
	 */
	public SuspectReport merge(SuspectReport other) {
		List<CrashObservation> merged = new ArrayList<>(this.crashes);
		for (CrashObservation crash : other.crashes) {
			if (merged.stream().noneMatch(crash::isSameCrash)) {
				merged.add(crash);
			}
		}
		merged.sort(MOST_RECENT_LAST);
		return new SuspectReport(merged.subList(Math.max(0, merged.size() - MAXIMUM_CRASHES), merged.size()),
				lower(this.answeredAge, other.answeredAge));
	}

	private static @Nullable Duration lower(@Nullable Duration first, @Nullable Duration second) {
		if (first == null || second == null) {
			return (first != null) ? first : second;
		}
		return (first.compareTo(second) <= 0) ? first : second;
	}

	private Duration age() {
		if (!this.crashes.isEmpty()) {
			return this.crashes.getLast().lostAge();
		}
		return (this.answeredAge != null) ? this.answeredAge : Duration.ZERO;
	}

	/**
	 * Selects the reports that are closest to a quarantine, so that a message stays small
	 * when many requests are lost with their endpoints.
	 * @param reports the reports by fingerprint
	 * @param maximum the maximum number of reports
	 * @return the selected reports
	 */
	public static Map<Fingerprint, SuspectReport> mostRelevant(Map<Fingerprint, SuspectReport> reports, int maximum) {
		if (reports.size() <= maximum) {
			return reports;
		}
		return reports.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue(MOST_RELEVANT_FIRST))
			.limit(maximum)
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

}
