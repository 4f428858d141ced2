package org.banyancove.gateway.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * Finds the suspects that explain the crashes of endpoints.
 * <p>
 * An endpoint that ends takes innocent requests with it, so that a suspect counts only by
 * the crashes that no stronger suspect explains. The strongest one is that with the most
 * crashes, which count half for a suspect that was answered recently, and, of several
 * with the same, the one whose last answer is the longest ago.
 */
final class CulpritSearch {

	/**
	 * Independent crashes that a culprit has. Two may be a coincidence while many
	 * endpoints fail.
	 */
	static final int CRASH_THRESHOLD = 3;

	private static final Comparator<Candidate> STRONGEST_FIRST = Comparator.comparingInt(Candidate::weight)
		.reversed()
		.thenComparingLong((candidate) -> candidate.answeredAt)
		.thenComparing((candidate) -> SuspectKeys.isPart(candidate.key))
		.thenComparing((candidate) -> candidate.key);

	private final EndpointTable endpoints;

	CulpritSearch(EndpointTable endpoints) {
		this.endpoints = endpoints;
	}

	/**
	 * Finds the culprits.
	 * @param suspects the suspects by key
	 * @return the crashes that establish each culprit, by key
	 */
	Map<Fingerprint, List<Suspect.Crash>> find(Map<Fingerprint, Suspect> suspects) {
		List<Candidate> candidates = new ArrayList<>();
		suspects.forEach((key, suspect) -> {
			Candidate candidate = new Candidate(key, suspect.answeredAt(), suspect.crashes(this.endpoints));
			if (evidence(candidate) != null) {
				candidates.add(candidate);
			}
		});
		Map<Fingerprint, List<Suspect.Crash>> culprits = new LinkedHashMap<>();
		while (!candidates.isEmpty()) {
			candidates.sort(STRONGEST_FIRST);
			List<Candidate> strongest = indistinguishable(candidates);
			strongest.forEach((candidate) -> {
				List<Suspect.Crash> evidence = evidence(candidate);
				if (evidence != null) {
					culprits.put(candidate.key, evidence);
				}
			});
			candidates.removeAll(strongest);
			explain(candidates, strongest.getFirst().crashes);
			candidates.removeIf((candidate) -> evidence(candidate) == null);
		}
		return culprits;
	}

	// The strongest candidate, and those parts that were never seen without it.
	private static List<Candidate> indistinguishable(List<Candidate> candidates) {
		Candidate strongest = candidates.getFirst();
		return candidates.stream()
			.filter((candidate) -> candidate == strongest || (SuspectKeys.isPart(candidate.key)
					&& SuspectKeys.isPart(strongest.key) && candidate.neverAnswered() && strongest.neverAnswered()
					&& candidate.endedEndpoints().equals(strongest.endedEndpoints())))
			.toList();
	}

	private static void explain(List<Candidate> candidates, List<Suspect.Crash> explained) {
		Map<EndpointId, List<Suspect.Crash>> byEndpoint = new HashMap<>();
		explained
			.forEach((crash) -> byEndpoint.computeIfAbsent(crash.endpoint(), (id) -> new ArrayList<>(1)).add(crash));
		candidates.forEach((candidate) -> candidate.unexplained.removeIf(
				(crash) -> byEndpoint.getOrDefault(crash.endpoint(), List.of()).stream().anyMatch(crash::isSameAs)));
	}

	private @Nullable List<Suspect.Crash> evidence(Candidate candidate) {
		if (candidate.unexplained.size() < CRASH_THRESHOLD) {
			return null;
		}
		List<Suspect.Crash> evidence = SuspectKeys.isPart(candidate.key)
				? Suspect.independent(candidate.unexplained, this.endpoints::dataCenterOf)
				: Suspect.successive(candidate.unexplained);
		return (evidence.size() >= CRASH_THRESHOLD) ? evidence : null;
	}

	private static final class Candidate {

		private final Fingerprint key;

		private final long answeredAt;

		private final List<Suspect.Crash> crashes;

		private final List<Suspect.Crash> unexplained;

		Candidate(Fingerprint key, @Nullable Long answeredAt, List<Suspect.Crash> crashes) {
			this.key = key;
			this.answeredAt = (answeredAt != null) ? answeredAt : Long.MIN_VALUE;
			this.crashes = crashes;
			this.unexplained = new ArrayList<>(crashes);
		}

		int weight() {
			return this.unexplained.size() * (neverAnswered() ? 2 : 1);
		}

		boolean neverAnswered() {
			return this.answeredAt == Long.MIN_VALUE;
		}

		Set<EndpointId> endedEndpoints() {
			Set<EndpointId> ended = new HashSet<>();
			this.unexplained.forEach((crash) -> ended.add(crash.endpoint()));
			return ended;
		}

	}

}
