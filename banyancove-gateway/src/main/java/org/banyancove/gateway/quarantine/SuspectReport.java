package org.banyancove.gateway.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.suspect.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * What gateways report to each other about a request, or a part of prompts, that may
 * crash endpoints.
 *
 * @param crashes the crashes of endpoints that had it, the most recent last
 * @param answeredAge the time since an endpoint answered it, or {@code null} if none did
 * recently
 */
public record SuspectReport(List<CrashObservation> crashes, @Nullable Duration answeredAge) {

	/**
	 * Orders the reports closest to a quarantine first, the most recent of them first. A
	 * part is more likely to come again than a request.
	 */
	private static final Comparator<Map.Entry<Fingerprint, SuspectReport>> MOST_RELEVANT_FIRST = Comparator
		.comparingInt((Map.Entry<Fingerprint, SuspectReport> report) -> report.getValue().crashes().size())
		.thenComparing((report) -> SuspectKeys.isPart(report.getKey()))
		.reversed()
		.thenComparing((report) -> report.getValue().age());

	/** Bounds a message to less than a datagram, also with long identifiers. */
	private static final int MAXIMUM_CRASHES = 500;

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
		Map<Fingerprint, SuspectReport> selected = new HashMap<>();
		int crashes = 0;
		for (Map.Entry<Fingerprint, SuspectReport> report : reports.entrySet()
			.stream()
			.sorted(MOST_RELEVANT_FIRST)
			.limit(maximum)
			.toList()) {
			crashes += report.getValue().crashes().size();
			if (crashes <= MAXIMUM_CRASHES) {
				selected.put(report.getKey(), report.getValue());
			}
		}
		return selected;
	}

}
