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

/**
 * Rejects the copies of a request that crashed several endpoints in succession.
 * <p>
 * A request that crashes an endpoint fails there, and its caller repeats it at any
 * gateway, where it would crash the next endpoint together with all requests that run
 * there. Gateways therefore report to each other which requests endpoints had when they
 * ended. A completed response clears a request, and an endpoint that answers later
 * requests has not crashed.
 * <p>
 * Many endpoints have a popular request when their data center is lost. A request that
 * was completed recently is therefore rejected only after the time in which the responses
 * that other gateways completed meanwhile become known. Times are nanoseconds of the
 * monotonic clock.
 */
public final class RequestQuarantine {

	/**
	 * Successive crashes that lead to a quarantine. Two may be a coincidence while many
	 * endpoints fail.
	 */
	private static final int CRASH_THRESHOLD = 3;

	/** Covers a report of the crashes to all gateways and one of their responses back. */
	private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

	private static final Duration QUARANTINE_DURATION = Duration.ofMinutes(1);

	private static final Duration SUSPECT_RETENTION = Duration.ofMinutes(1);

	/**
	 * Retention after a quarantine. In this time, a request that crashes one further
	 * endpoint is quarantined again.
	 */
	private static final Duration QUARANTINED_RETENTION = Duration.ofMinutes(5);

	private static final int MAXIMUM_SUSPECTS = 1024;

	private static final Duration COMPLETION_RETENTION = Duration.ofSeconds(30);

	private static final int MAXIMUM_COMPLETIONS = 4096;

	/** Bound the size of a message. */
	private static final int MAXIMUM_OWN_REPORTS = 24;

	private static final int MAXIMUM_RELAYED_REPORTS = 64;

	/**
	 * Time for which an observation is reported; covers several report intervals, so that
	 * a lost datagram does not matter.
	 */
	private static final Duration REPORT_DURATION = Duration.ofSeconds(5);

	private final EndpointTable endpoints;

	/** Ordered by the time of the last change, the oldest first. */
	private final Map<Fingerprint, SuspectRequest> suspects = new LinkedHashMap<>();

	/** The times of the last completed responses, the oldest first. */
	private final Map<Fingerprint, Long> completions = new LinkedHashMap<>();

	/**
	 * Creates an empty quarantine.
	 * @param endpoints the endpoints
	 */
	public RequestQuarantine(EndpointTable endpoints) {
		this.endpoints = endpoints;
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
	 * @param request the request's fingerprint
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent
	 * @param now the current time
	 */
	public void recordLoss(Fingerprint request, EndpointId endpoint, long sentAt, long now) {
		SuspectRequest suspect = findOrAdd(request, now);
		suspect.addCrash(endpoint, sentAt, now);
		suspect.observed(now);
	}

	/**
	 * Records that an endpoint completed a request.
	 * @param request the request's fingerprint
	 * @param now the current time
	 */
	public void recordCompletion(Fingerprint request, long now) {
		this.completions.remove(request);
		this.completions.put(request, now);
		if (this.completions.size() > MAXIMUM_COMPLETIONS) {
			this.completions.remove(this.completions.keySet().iterator().next());
		}
		SuspectRequest suspect = this.suspects.get(request);
		if (suspect != null) {
			suspect.answered(now);
			suspect.observed(now);
		}
	}

	/**
	 * Returns the time for which a request remains in quarantine.
	 * @param request the request's fingerprint
	 * @param now the current time
	 * @return the remaining time, or zero if the request is not in quarantine
	 */
	public Duration remaining(Fingerprint request, long now) {
		SuspectRequest suspect = this.suspects.get(request);
		return (suspect != null) ? remaining(suspect, suspect.successiveCrashes(this.endpoints), now) : Duration.ZERO;
	}

	private static Duration remaining(SuspectRequest suspect, List<SuspectRequest.Crash> successive, long now) {
		if (successive.size() < CRASH_THRESHOLD) {
			return Duration.ZERO;
		}
		long thresholdAt = successive.get(CRASH_THRESHOLD - 1).lostAt();
		if (suspect.answeredAt() != null && now - thresholdAt < SETTLE_TIME.toNanos()) {
			return Duration.ZERO;
		}
		long nanos = QUARANTINE_DURATION.toNanos() - (now - successive.getLast().lostAt());
		return Duration.ofNanos(Math.max(0, nanos));
	}

	/**
	 * Returns the requests in quarantine.
	 * @param now the current time
	 * @return the endpoints that each of them crashed in succession, by fingerprint
	 */
	public Map<Fingerprint, List<EndpointId>> quarantined(long now) {
		Map<Fingerprint, List<EndpointId>> quarantined = new HashMap<>();
		this.suspects.forEach((request, suspect) -> {
			List<SuspectRequest.Crash> successive = suspect.successiveCrashes(this.endpoints);
			if (remaining(suspect, successive, now).isPositive()) {
				quarantined.put(request, successive.stream().map(SuspectRequest.Crash::endpoint).toList());
			}
		});
		return quarantined;
	}

	/**
	 * Returns the reports on what this gateway itself observed recently, and on all
	 * requests that were in quarantine, of which a restarted gateway knows nothing.
	 * @param now the current time
	 * @return the reports by fingerprint
	 */
	public Map<Fingerprint, SuspectReport> ownReports(long now) {
		long since = now - REPORT_DURATION.toNanos();
		return reports((suspect) -> suspect.observedSince(since), MAXIMUM_OWN_REPORTS, now);
	}

	/**
	 * Returns the reports on what any gateway observed recently, and on all requests that
	 * were in quarantine.
	 * @param now the current time
	 * @return the reports by fingerprint
	 */
	public Map<Fingerprint, SuspectReport> relayedReports(long now) {
		long since = now - REPORT_DURATION.toNanos();
		return reports((suspect) -> suspect.changedSince(since), MAXIMUM_RELAYED_REPORTS, now);
	}

	private Map<Fingerprint, SuspectReport> reports(Predicate<SuspectRequest> recent, int maximum, long now) {
		Map<Fingerprint, SuspectReport> reports = new HashMap<>();
		this.suspects.forEach((request, suspect) -> {
			if (recent.test(suspect) || suspect.successiveCrashes(this.endpoints).size() >= CRASH_THRESHOLD) {
				reports.put(request, report(suspect, now));
			}
		});
		return SuspectReport.mostRelevant(reports, maximum);
	}

	private SuspectReport report(SuspectRequest suspect, long now) {
		List<SuspectRequest.Crash> successive = suspect.successiveCrashes(this.endpoints);
		List<CrashObservation> latest = successive.stream()
			.skip(Math.max(0, successive.size() - CRASH_THRESHOLD))
			.map((crash) -> crash.toObservation(now))
			.toList();
		Long answeredAt = suspect.answeredAt();
		return new SuspectReport(latest, (answeredAt != null) ? Duration.ofNanos(Math.max(0, now - answeredAt)) : null);
	}

	/**
	 * Adds the reports of other gateways.
	 * @param reports the reports by fingerprint
	 * @param now the current time
	 */
	public void merge(Map<Fingerprint, SuspectReport> reports, long now) {
		reports.forEach((request, report) -> {
			SuspectRequest suspect = report.crashes().isEmpty() ? this.suspects.get(request) : findOrAdd(request, now);
			if (suspect == null) {
				return;
			}
			if (report.answeredAge() != null) {
				suspect.answered(now - report.answeredAge().toNanos());
			}
			for (CrashObservation crash : report.crashes()) {
				suspect.addCrash(crash.endpoint(), now - crash.sentAge().toNanos(), now - crash.lostAge().toNanos());
			}
		});
	}

	private SuspectRequest findOrAdd(Fingerprint request, long now) {
		SuspectRequest existing = this.suspects.remove(request);
		SuspectRequest suspect = (existing != null) ? existing : newSuspect(request, now);
		this.suspects.put(request, suspect);
		if (this.suspects.size() > MAXIMUM_SUSPECTS) {
			removeOldest();
		}
		return suspect;
	}

	private SuspectRequest newSuspect(Fingerprint request, long now) {
		SuspectRequest suspect = new SuspectRequest();
		Long completedAt = this.completions.get(request);
		if (completedAt != null && now - completedAt <= COMPLETION_RETENTION.toNanos()) {
			suspect.answered(completedAt);
			suspect.observed(now);
		}
		return suspect;
	}

	// Requests that were in quarantine are kept in preference to others.
	private void removeOldest() {
		Iterator<SuspectRequest> oldestFirst = this.suspects.values().iterator();
		while (oldestFirst.hasNext()) {
			if (oldestFirst.next().successiveCrashes(this.endpoints).size() < CRASH_THRESHOLD) {
				oldestFirst.remove();
				return;
			}
		}
		this.suspects.remove(this.suspects.keySet().iterator().next());
	}

	/**
	 * Removes the suspects and completions that are no longer relevant.
	 * @param now the current time
	 */
	public void expire(long now) {
		Set<Fingerprint> expired = new HashSet<>();
		this.suspects.forEach((request, suspect) -> {
			if (isExpired(suspect, now)) {
				expired.add(request);
			}
		});
		this.suspects.keySet().removeAll(expired);
		Iterator<Long> oldestFirst = this.completions.values().iterator();
		while (oldestFirst.hasNext() && now - oldestFirst.next() > COMPLETION_RETENTION.toNanos()) {
			oldestFirst.remove();
		}
	}

	private boolean isExpired(SuspectRequest suspect, long now) {
		Long lastCrashAt = suspect.lastCrashAt();
		if (lastCrashAt == null) {
			Long answeredAt = suspect.answeredAt();
			return answeredAt == null || now - answeredAt > REPORT_DURATION.toNanos();
		}
		long age = now - lastCrashAt;
		if (age <= SUSPECT_RETENTION.toNanos()) {
			return false;
		}
		boolean wasQuarantined = suspect.successiveCrashes(this.endpoints).size() >= CRASH_THRESHOLD;
		return !wasQuarantined || age > QUARANTINED_RETENTION.toNanos();
	}

}
