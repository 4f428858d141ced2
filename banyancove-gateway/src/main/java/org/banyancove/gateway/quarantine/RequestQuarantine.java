package org.banyancove.gateway.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.banyancove.core.EndpointId;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * Rejects the requests that crash endpoints: the copies of one request, and those that
 * have a part of their prompts in common.
 * <p>
 * A request that crashes an endpoint fails there, and its caller repeats it at any
 * gateway, or sends others with the same part, which crash the next endpoint together
 * with all requests that run there. Gateways therefore report to each other which
 * requests and parts endpoints had when they ended, and which were answered meanwhile. An
 * answer clears a suspect, and an endpoint that answers on an older connection has not
 * crashed.
 * <p>
 * Many endpoints have a popular request when their data center is lost. A suspect that
 * was answered recently is therefore rejected only after the time in which the responses
 * that other gateways completed meanwhile become known. Times are nanoseconds of the
 * monotonic clock.
 */
public final class RequestQuarantine {

	/** Covers a report of the crashes to all gateways and one of their responses back. */
	private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

	private static final Duration SUSPECT_RETENTION = Duration.ofMinutes(1);

	/**
	 * Retention after a quarantine. In this time, a suspect that crashes one further
	 * endpoint is quarantined again.
	 */
	private static final Duration QUARANTINED_RETENTION = Duration.ofMinutes(5);

	private static final int MAXIMUM_SUSPECTS = 1024;

	/** Bound the size of a message. */
	private static final int MAXIMUM_OWN_REPORTS = 24;

	private static final int MAXIMUM_RELAYED_REPORTS = 64;

	private static final int MAXIMUM_REPORTED_CRASHES = 32;

	/**
	 * Time for which an observation is reported; covers several report intervals, so that
	 * a lost datagram does not matter.
	 */
	private static final Duration REPORT_DURATION = Duration.ofSeconds(5);

	private final EndpointTable endpoints;

	private final CulpritSearch culpritSearch;

	private final QuarantineTrials trials;

	/** Ordered by the time of the last change, the oldest first. */
	private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>();

	private final RecentAnswers answeredRequests = new RecentAnswers();

	private final RecentAnswers answeredParts = new RecentAnswers();

	private @Nullable Map<Fingerprint, List<Suspect.Crash>> culprits;

	private Runnable crashListener = () -> {
	};

	/**
	 * Creates an empty quarantine.
	 * @param endpoints the endpoints
	 */
	public RequestQuarantine(EndpointTable endpoints) {
		this.endpoints = endpoints;
		this.culpritSearch = new CulpritSearch(endpoints);
		this.trials = new QuarantineTrials(endpoints.fleetAllocation());
	}

	/**
	 * Sets the listener to call when this gateway lost a request with its endpoint.
	 * @param newListener the listener
	 */
	public void setCrashListener(Runnable newListener) {
		this.crashListener = newListener;
	}

	/**
	 * Returns whether no request is suspect, so that no fingerprint needs to be computed.
	 * @return {@code true} if there are no suspects
	 */
	public boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * Records that an endpoint ended the connection while it had a request.
	 * @param request the request's keys
	 * @param begun whether the endpoint had been writing the response for long enough to
	 * show that no part of the prompt crashes it
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent
	 * @param now the current time
	 */
	public void recordLoss(SuspectKeys request, boolean begun, EndpointId endpoint, long sentAt, long now) {
		for (Fingerprint key : begun ? List.of(request.content()) : request.all()) {
			Suspect suspect = findOrAdd(key, now);
			suspect.addCrash(endpoint, sentAt, now);
			suspect.observed(now);
		}
		this.culprits = null;
		this.crashListener.run();
	}

	/**
	 * Records that an endpoint has written a response for long enough to show that no
	 * part of the prompt crashes it.
	 * @param request the request's keys
	 * @param begunAt when the endpoint began the response, at the earliest: from then on
	 * the parts may have become deadly
	 * @param now the current time
	 */
	public void recordBegun(SuspectKeys request, long begunAt, long now) {
		request.parts().forEach((part) -> recordAnswer(this.answeredParts, part, begunAt, now));
	}

	/**
	 * Records that an endpoint completed a request.
	 * @param request the request's keys
	 * @param begunAt when the endpoint began the response, at the earliest
	 * @param now the current time
	 */
	public void recordCompletion(SuspectKeys request, long begunAt, long now) {
		recordBegun(request, begunAt, now);
		recordAnswer(this.answeredRequests, request.content(), now, now);
	}

	private void recordAnswer(RecentAnswers answers, Fingerprint key, long answeredAt, long now) {
		answers.put(key, answeredAt);
		Suspect suspect = this.suspects.get(key);
		if (suspect != null) {
			suspect.observed(now);
			if (suspect.answered(answeredAt)) {
				this.culprits = null;
			}
		}
	}

	/**
	 * Records that this gateway sends a request to an endpoint.
	 * @param request the request's keys
	 * @param now the current time
	 */
	public void recordSent(SuspectKeys request, long now) {
		for (Fingerprint key : request.all()) {
			Suspect suspect = this.suspects.get(key);
			if (suspect != null) {
				suspect.tried(now);
			}
		}
	}

	/**
	 * Returns the time for which a request remains in quarantine.
	 * @param request the request's keys
	 * @param now the current time
	 * @return the remaining time, or zero if the request may be sent
	 */
	public Duration remaining(SuspectKeys request, long now) {
		Duration longest = Duration.ZERO;
		for (Fingerprint key : request.all()) {
			List<Suspect.Crash> evidence = culprits().get(key);
			Suspect suspect = this.suspects.get(key);
			if (evidence != null && suspect != null && isSettled(suspect, evidence, now)) {
				Duration remaining = this.trials.remaining(key, suspect, now);
				longest = (remaining.compareTo(longest) > 0) ? remaining : longest;
			}
		}
		return longest;
	}

	private Map<Fingerprint, List<Suspect.Crash>> culprits() {
		Map<Fingerprint, List<Suspect.Crash>> known = this.culprits;
		if (known == null || known.values().stream().flatMap(List::stream).anyMatch(this::isRefuted)) {
			known = this.culpritSearch.find(this.suspects);
			this.culprits = known;
		}
		return known;
	}

	private boolean isRefuted(Suspect.Crash crash) {
		return this.endpoints.wasAlive(crash.endpoint(), crash.lostAt());
	}

	private static boolean isSettled(Suspect suspect, List<Suspect.Crash> evidence, long now) {
		long thresholdAt = evidence.get(CulpritSearch.CRASH_THRESHOLD - 1).lostAt();
		return suspect.answeredAt() == null || now - thresholdAt >= SETTLE_TIME.toNanos();
	}

	/**
	 * Returns the requests and parts in quarantine.
	 * @param now the current time
	 * @return the endpoints that establish each of them as the cause of their crashes
	 */
	public Map<Fingerprint, List<EndpointId>> quarantined(long now) {
		Map<Fingerprint, List<EndpointId>> quarantined = new HashMap<>();
		culprits().forEach((key, evidence) -> {
			Suspect suspect = this.suspects.get(key);
			if (suspect != null && isSettled(suspect, evidence, now)) {
				quarantined.put(key, evidence.stream().map(Suspect.Crash::endpoint).toList());
			}
		});
		return quarantined;
	}

	/**
	 * Returns the reports on what this gateway itself observed recently, and on all
	 * suspects in quarantine, of which a restarted gateway knows nothing.
	 * @param now the current time
	 * @return the reports by key
	 */
	public Map<Fingerprint, SuspectReport> ownReports(long now) {
		long since = now - REPORT_DURATION.toNanos();
		return reports((suspect) -> suspect.observedSince(since), MAXIMUM_OWN_REPORTS, now);
	}

	/**
	 * Returns the reports on what any gateway observed recently, and on all suspects in
	 * quarantine.
	 * @param now the current time
	 * @return the reports by key
	 */
	public Map<Fingerprint, SuspectReport> relayedReports(long now) {
		long since = now - REPORT_DURATION.toNanos();
		return reports((suspect) -> suspect.changedSince(since), MAXIMUM_RELAYED_REPORTS, now);
	}

	private Map<Fingerprint, SuspectReport> reports(Predicate<Suspect> recent, int maximum, long now) {
		Map<Fingerprint, SuspectReport> reports = new HashMap<>();
		this.suspects.forEach((key, suspect) -> {
			if (recent.test(suspect) || culprits().containsKey(key)) {
				reports.put(key, report(suspect, now));
			}
		});
		return SuspectReport.mostRelevant(reports, maximum);
	}

	private SuspectReport report(Suspect suspect, long now) {
		List<Suspect.Crash> crashes = suspect.crashes(this.endpoints);
		List<CrashObservation> latest = crashes.stream()
			.skip(Math.max(0, crashes.size() - MAXIMUM_REPORTED_CRASHES))
			.map((crash) -> crash.toObservation(now))
			.toList();
		Long answeredAt = suspect.answeredAt();
		return new SuspectReport(latest, (answeredAt != null) ? Duration.ofNanos(Math.max(0, now - answeredAt)) : null);
	}

	/**
	 * Adds the reports of other gateways.
	 * @param reports the reports by key
	 * @param now the current time
	 * @return whether they name crashes that were not known yet
	 */
	public boolean merge(Map<Fingerprint, SuspectReport> reports, long now) {
		boolean added = false;
		boolean cleared = false;
		for (Map.Entry<Fingerprint, SuspectReport> entry : reports.entrySet()) {
			SuspectReport report = entry.getValue();
			Suspect suspect = report.crashes().isEmpty() ? this.suspects.get(entry.getKey())
					: findOrAdd(entry.getKey(), now);
			if (suspect == null) {
				continue;
			}
			if (report.answeredAge() != null) {
				cleared |= suspect.reportedAnswered(now - report.answeredAge().toNanos());
			}
			for (CrashObservation crash : report.crashes()) {
				added |= suspect.addCrash(crash.endpoint(), now - crash.sentAge().toNanos(),
						now - crash.lostAge().toNanos());
			}
		}
		if (added || cleared) {
			this.culprits = null;
		}
		return added;
	}

	private Suspect findOrAdd(Fingerprint key, long now) {
		Suspect existing = this.suspects.remove(key);
		Suspect suspect = (existing != null) ? existing : newSuspect(key, now);
		this.suspects.put(key, suspect);
		if (this.suspects.size() > MAXIMUM_SUSPECTS) {
			removeOldest();
		}
		return suspect;
	}

	private Suspect newSuspect(Fingerprint key, long now) {
		Suspect suspect = new Suspect();
		Long answeredAt = (SuspectKeys.isPart(key) ? this.answeredParts : this.answeredRequests).get(key, now);
		if (answeredAt != null) {
			suspect.answered(answeredAt);
			suspect.observed(now);
		}
		return suspect;
	}

	// Suspects in quarantine are kept in preference to others.
	private void removeOldest() {
		Set<Fingerprint> kept = culprits().keySet();
		Iterator<Fingerprint> oldestFirst = this.suspects.keySet().iterator();
		while (oldestFirst.hasNext()) {
			if (!kept.contains(oldestFirst.next())) {
				oldestFirst.remove();
				return;
			}
		}
		this.suspects.remove(this.suspects.keySet().iterator().next());
	}

	/**
	 * Removes the suspects and answers that are no longer relevant.
	 * @param now the current time
	 */
	public void expire(long now) {
		Set<Fingerprint> expired = new HashSet<>();
		this.suspects.forEach((key, suspect) -> {
			if (isExpired(key, suspect, now)) {
				expired.add(key);
			}
		});
		if (!expired.isEmpty()) {
			this.suspects.keySet().removeAll(expired);
			this.culprits = null;
		}
		this.answeredRequests.expire(now);
		this.answeredParts.expire(now);
	}

	private boolean isExpired(Fingerprint key, Suspect suspect, long now) {
		Long lastCrashAt = suspect.lastCrashAt();
		if (lastCrashAt == null) {
			Long answeredAt = suspect.answeredAt();
			return answeredAt == null || now - answeredAt > REPORT_DURATION.toNanos();
		}
		long age = now - lastCrashAt;
		if (age <= SUSPECT_RETENTION.toNanos()) {
			return false;
		}
		return !culprits().containsKey(key) || age > QUARANTINED_RETENTION.toNanos();
	}

}
