package org.banyancove.gateway.quarantine;

import java.time.Duration;
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
	static Map<Fingerprint, SuspectReport> mostRelevant(Map<Fingerprint, SuspectReport> reports, int maximum) {
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
