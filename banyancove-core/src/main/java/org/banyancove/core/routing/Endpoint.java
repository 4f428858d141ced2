package org.banyancove.core.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * An endpoint with the load, latency and cache state that this entry has observed. Only
 * {@link EndpointTable} modifies it. Not thread-safe.
 */
public final class Endpoint {

	/**
	 * Share of the KV cache in use above which a new request waits for another to end.
	 */
	private static final double KV_CACHE_FULL_SHARE = 0.95;

	/**
	 * A first token is late if it takes this many times as long as on an idle endpoint.
	 */
	private static final double LATE_FIRST_TOKEN_RATIO = 2;

	/**
	 * Share of the first-token target that the limit aims at. A limit that aims at the
	 * full target oscillates around it, and half of the answers are late.
	 */
	private static final double FIRST_TOKEN_TARGET_SHARE = 0.6;

	private static final double TOKEN_TARGET_SHARE = 0.85;

	private final LatencyEstimate latency = new LatencyEstimate();

	private final ConcurrencyLimit limit = new ConcurrencyLimit();

	private final RecentEventCounter sent = new RecentEventCounter();

	private final RecentEventCounter ended = new RecentEventCounter();

	private final Map<RequestId, Attempt> attempts = new HashMap<>(4);

	private final int[] positions = new int[EndpointGroup.KINDS];

	private EndpointDefinition definition;

	private EndpointState state = EndpointState.LIVE;

	private @Nullable Instant reclaimAt;

	private @Nullable LoadReport report;

	private double pendingTokens;

	private int pendingCount;

	private long cacheSequence = -1;

	private CacheGeneration cacheGeneration = new CacheGeneration(this);

	private long cacheEventGaps;

	private int consecutiveLosses;

	private double goneAt;

	private double lastFreeCapacity;

	private boolean lastPastSlowStart;

	private long stamp;

	Endpoint(EndpointDefinition definition) {
		this.definition = definition;
	}

	/**
	 * Returns the identifier.
	 * @return the identifier
	 */
	public EndpointId id() {
		return this.definition.id();
	}

	/**
	 * Returns the endpoint's entry in the platform's list.
	 * @return the definition
	 */
	public EndpointDefinition definition() {
		return this.definition;
	}

	/**
	 * Returns the data center.
	 * @return the data center
	 */
	public DataCenterName dataCenter() {
		return this.definition.dataCenter();
	}

	/**
	 * Returns the state, which determines whether the endpoint receives new work.
	 * @return the state
	 */
	public EndpointState state() {
		return this.state;
	}

	/**
	 * Returns when the VM is reclaimed.
	 * @return the time, or {@code null} without a reclaim notice
	 */
	public @Nullable Instant reclaimAt() {
		return this.reclaimAt;
	}

	/**
	 * Returns the number of this entry's attempts running at the endpoint.
	 * @return the number of attempts
	 */
	public int ownInFlight() {
		return this.attempts.size();
	}

	/**
	 * Returns the estimated number of requests at the endpoint, based on the last load
	 * report and on what this entry and its peers have sent since.
	 * @return the estimated number of requests
	 */
	public int inFlight() {
		int reported = ((this.report != null) ? this.report.running() + this.report.queued() : 0);
		return Math.max(this.attempts.size(), reported + this.sent.count() - this.ended.count());
	}

	/**
	 * Returns the number of gaps in the sequence of the endpoint's cache events.
	 * @return the number of gaps
	 */
	public long cacheEventGaps() {
		return this.cacheEventGaps;
	}

	/**
	 * Returns the adaptive limit on this entry's concurrent requests.
	 * @return the limit, at least 1
	 */
	public double concurrencyLimit() {
		return this.limit.value();
	}

	/**
	 * Returns whether another request is within the concurrency limit.
	 * @return {@code true} if at least one slot is free
	 */
	public boolean hasFreeSlot() {
		return freeSlots() >= 1;
	}

	/**
	 * Returns the number of free slots within the concurrency limit.
	 * @return the number of requests, possibly fractional
	 */
	double freeSlots() {
		return Math.max(0, this.limit.value() - ownInFlight());
	}

	/**
	 * Returns the ratio of the load with another request to the concurrency limit.
	 * @return the ratio, 1 if the request is within the limit
	 */
	double overloadFactor() {
		return Math.max(1, (ownInFlight() + 1) / this.limit.value());
	}

	/**
	 * Predicts the time to first token of a request sent now.
	 * @param uncachedTokens the prompt tokens that the endpoint must compute
	 * @return the time in seconds, 0 without observations
	 */
	public double predictFirstToken(double uncachedTokens) {
		return this.latency.firstTokenSeconds(backlogTokens() + uncachedTokens) + batchSlotWait(uncachedTokens);
	}

	/**
	 * Predicts the time between tokens of a request sent now.
	 * @return the time in seconds, 0 without observations
	 */
	public double predictPerToken() {
		return this.latency.perTokenSeconds(inFlight() + 1.0);
	}

	/**
	 * Predicts the time that the endpoint spends on a prompt, excluding queueing.
	 * @param uncachedTokens the prompt tokens that the endpoint must compute
	 * @return the time in seconds
	 */
	double predictPrompt(double uncachedTokens) {
		return this.latency.firstTokenSeconds(uncachedTokens);
	}

	boolean isLatencyUnknown() {
		return this.latency.isUnknown();
	}

	LatencyEstimate latency() {
		return this.latency;
	}

	int position(int kind) {
		return this.positions[kind];
	}

	void position(int kind, int position) {
		this.positions[kind] = position;
	}

	CacheGeneration cacheGeneration() {
		return this.cacheGeneration;
	}

	boolean isLive() {
		return this.state == EndpointState.LIVE;
	}

	void updateDefinition(EndpointDefinition newDefinition) {
		this.definition = newDefinition;
	}

	void markLeaving(Instant at) {
		this.state = EndpointState.LEAVING;
		this.reclaimAt = at;
	}

	void markGone(double now) {
		this.state = EndpointState.GONE;
		this.goneAt = now;
		this.consecutiveLosses++;
		this.cacheGeneration = new CacheGeneration(this);
		this.cacheSequence = -1;
		this.attempts.clear();
		this.pendingTokens = 0;
		this.pendingCount = 0;
		clearLoad();
	}

	/**
	 * Marks the endpoint with a stamp.
	 * @param newStamp the stamp
	 * @return {@code true} if the endpoint had a different stamp before
	 */
	boolean stamp(long newStamp) {
		boolean changed = this.stamp != newStamp;
		this.stamp = newStamp;
		return changed;
	}

	double lastFreeCapacity() {
		return this.lastFreeCapacity;
	}

	boolean wasPastSlowStart() {
		return this.lastPastSlowStart;
	}

	void recordCapacity(double freeCapacity, boolean pastSlowStart) {
		this.lastFreeCapacity = freeCapacity;
		this.lastPastSlowStart = pastSlowStart;
	}

	/**
	 * Returns whether the concurrency limit has been decreased since the endpoint became
	 * live, so that it reflects the endpoint's capacity.
	 * @return {@code true} after slow start
	 */
	boolean isPastSlowStart() {
		return !this.limit.isSlowStart();
	}

	double goneAt() {
		return this.goneAt;
	}

	int consecutiveLosses() {
		return this.consecutiveLosses;
	}

	void markLive() {
		this.state = EndpointState.LIVE;
		this.limit.reset();
	}

	void updateLoad(LoadReport newReport) {
		if (this.report != null && newReport.asOf().isBefore(this.report.asOf())) {
			return;
		}
		this.report = newReport;
		double asOf = Seconds.of(newReport.asOf());
		this.sent.removeUntil(asOf);
		this.ended.removeUntil(asOf);
	}

	/**
	 * Discards events that are too old to affect the load at the given time.
	 * @param time the time in seconds
	 */
	void discardBefore(double time) {
		this.sent.removeUntil(time - RecentEventCounter.RETENTION_SECONDS);
		this.ended.removeUntil(time - RecentEventCounter.RETENTION_SECONDS);
	}

	// Only a load report removes these events. Without reports, the estimated load would
	// grow with each heartbeat until no request is admitted.
	void recordSentByPeers(int count, double now) {
		if (this.report == null) {
			return;
		}
		for (int i = 0; i < count; i++) {
			this.sent.add(now);
		}
	}

	/**
	 * Records the sequence number of a cache event.
	 * @param sequence the sequence number
	 * @return {@code true} if the event is newer than all before; an older event must not
	 * override a newer one
	 */
	boolean recordCacheEvent(long sequence) {
		if (sequence <= this.cacheSequence) {
			return false;
		}
		boolean gap = this.cacheSequence >= 0 && sequence > this.cacheSequence + 1;
		this.cacheSequence = sequence;
		if (gap) {
			this.cacheEventGaps++;
		}
		return true;
	}

	void startAttempt(RequestId request, double uncachedTokens, double firstTokenTarget, double tokenTarget,
			double now) {
		double workTokens = backlogTokens() + uncachedTokens;
		Attempt attempt = new Attempt(now, uncachedTokens, workTokens, inFlight() + 1.0, ownInFlight() + 1,
				firstTokenTarget, tokenTarget);
		this.attempts.put(request, attempt);
		this.sent.add(now);
		this.pendingTokens += uncachedTokens;
		this.pendingCount++;
		this.latency.observePrompt(uncachedTokens);
	}

	@Nullable Attempt recordFirstToken(RequestId request, double now) {
		Attempt attempt = this.attempts.get(request);
		if (attempt == null || !attempt.isWaitingForFirstToken()) {
			return null;
		}
		removePending(attempt);
		attempt.recordFirstToken(now);
		double seconds = now - attempt.startedAt();
		double idleSeconds = this.latency.firstTokenSeconds(attempt.uncachedTokens());
		double maximum = Math.max(attempt.firstTokenTarget() * FIRST_TOKEN_TARGET_SHARE,
				LATE_FIRST_TOKEN_RATIO * idleSeconds);
		adjustLimit(attempt, seconds / maximum, now);
		this.latency.observeFirstToken(attempt.workTokens(), seconds);
		this.consecutiveLosses = 0;
		return attempt;
	}

	void recordTokens(RequestId request, int count, double now) {
		Attempt attempt = this.attempts.get(request);
		if (attempt != null && !attempt.isWaitingForFirstToken()) {
			attempt.recordTokens(count, now);
		}
	}

	@Nullable Attempt endAttempt(RequestId request, AttemptOutcome outcome, double now) {
		Attempt attempt = this.attempts.remove(request);
		if (attempt == null) {
			return null;
		}
		this.ended.add(now);
		if (attempt.isWaitingForFirstToken()) {
			removePending(attempt);
		}
		if (outcome.indicatesOverload()) {
			this.limit.recordOverload(attempt.startedAt(), now);
		}
		if (outcome == AttemptOutcome.COMPLETED) {
			observeCompleted(attempt, now);
		}
		return attempt;
	}

	private void observeCompleted(Attempt attempt, double now) {
		this.latency.observeTotal(now - attempt.startedAt());
		if (attempt.tokenCount() > 0) {
			double perToken = attempt.secondsPerToken();
			double concurrency = (attempt.concurrency() + inFlight() + 1) / 2;
			this.latency.observePerToken(concurrency, perToken);
			if (perToken > attempt.tokenTarget() * TOKEN_TARGET_SHARE) {
				this.limit.recordLate(perToken / (attempt.tokenTarget() * TOKEN_TARGET_SHARE), attempt.startedAt(),
						now);
			}
		}
	}

	private void adjustLimit(Attempt attempt, double ratio, double now) {
		if (ratio <= 1) {
			this.limit.recordTimely(attempt.ownInFlight(), attempt.ownShare());
		}
		else {
			this.limit.recordLate(ratio, attempt.startedAt(), now);
		}
	}

	private void removePending(Attempt attempt) {
		this.pendingTokens -= attempt.uncachedTokens();
		this.pendingCount--;
	}

	private void clearLoad() {
		this.report = null;
		this.sent.removeUntil(Double.POSITIVE_INFINITY);
		this.ended.removeUntil(Double.POSITIVE_INFINITY);
	}

	private double backlogTokens() {
		double otherQueued = Math.max(0, queuedCount() - this.pendingCount);
		return this.pendingTokens + otherQueued * this.latency.meanPromptTokens();
	}

	private int queuedCount() {
		return ((this.report != null) ? this.report.queued() : 0);
	}

	private double batchSlotWait(double uncachedTokens) {
		LoadReport current = this.report;
		if (current == null || current.kvLimit() <= 0 || current.running() == 0) {
			return 0;
		}
		if (current.kvUsed() + uncachedTokens <= current.kvLimit() * KV_CACHE_FULL_SHARE) {
			return 0;
		}
		return (current.queued() + 1) * this.latency.meanTotalSeconds() / current.running();
	}

}
