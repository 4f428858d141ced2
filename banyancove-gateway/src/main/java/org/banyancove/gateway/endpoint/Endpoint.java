package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.EngineMemory;
import org.jspecify.annotations.Nullable;

/**
 * An endpoint, with the load, latency and failures that this gateway observed on it.
 * <p>
 * Times are nanoseconds of the monotonic clock. Confined to the event loop thread.
 */
public final class Endpoint {

	/**
	 * Weight of a new sample in an exponential moving average, which covers about the
	 * last ten samples.
	 */
	private static final double SAMPLE_WEIGHT = 0.1;

	/**
	 * Weight of a new outcome: three consecutive failures raise the failure rate above
	 * one half.
	 */
	private static final double OUTCOME_WEIGHT = 0.25;

	/**
	 * Time constant of the failure rate's decay, in ns: most failures last a few seconds.
	 * Without decay, an endpoint that is avoided for its failures would receive no
	 * request that shows its recovery, and the others would carry its load permanently.
	 */
	private static final double OUTCOME_DECAY_NANOS = 3e9;

	/** Bounds of a single slowdown sample. */
	private static final double MINIMUM_SLOWDOWN = 0.2;

	private static final double MAXIMUM_SLOWDOWN = 20;

	/**
	 * Time constant of the slowdown's decay, in ns. An engine that is avoided, or whose
	 * requests are all rejected, receives no request that shows its recovery.
	 */
	private static final double SLOWDOWN_DECAY_NANOS = 5e9;

	/** Initial estimate of a plain service's response time, in ms. */
	private static final double INITIAL_RESPONSE_MILLIS = 30;

	/**
	 * Delay of a first token for each running request, in ms: a step of a full batch
	 * takes about 10 ms longer than a step of an empty one, and a prompt's prefill spans
	 * a few steps.
	 */
	private static final double MILLIS_PER_RUNNING_REQUEST = 0.4;

	/**
	 * Time constant of a load report's decay, in ns: about the duration of a request.
	 */
	private static final double REPORT_DECAY_NANOS = 2e9;

	/**
	 * Backoff after the second consecutive failure without an answer. Each further one
	 * doubles it, so that a dead endpoint costs few requests.
	 */
	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(4);

	private EndpointEntry entry;

	private PromptCache cache;

	private @Nullable EngineMemory memory;

	private int inFlight;

	private long pendingPrefillTokens;

	private int remoteInFlight;

	private long remotePendingPrefillTokens;

	private double unattributedAtReport;

	private double queuedAtReport;

	private long reportedAt = Long.MIN_VALUE;

	private final PrefillLatency prefillLatency;

	private double slowdown = 1;

	private long slowdownAt;

	private double responseMillis = INITIAL_RESPONSE_MILLIS;

	private double failureRate;

	private long outcomeAt;

	private int consecutiveFailures;

	private long latestFailureAt = Long.MIN_VALUE;

	private long backoffUntil = Long.MIN_VALUE;

	private final RejectionTolerance rejectionTolerance;

	private final FleetAllocation allocation;

	private final EndpointPartition partition;

	private EndpointRateLimiter rateLimiter;

	private ConcurrencyLimiter concurrencyLimiter;

	private boolean shutdownAnnounced;

	private EndpointPause pause = new EndpointPause();

	private @Nullable Long unlistedAt;

	private final ProcessLife processLife = new ProcessLife();

	Endpoint(EndpointEntry entry, @Nullable EngineMemory memory, PrefillLatency prefillLatency,
			RejectionTolerance rejectionTolerance, FleetAllocation allocation, EndpointPartition partition) {
		this.entry = entry;
		this.partition = partition;
		this.allocation = allocation;
		this.rateLimiter = new EndpointRateLimiter(entry.id(), allocation);
		this.concurrencyLimiter = new ConcurrencyLimiter(entry.id(), allocation, rejectionTolerance);
		this.prefillLatency = prefillLatency;
		this.rejectionTolerance = rejectionTolerance;
		this.memory = memory;
		this.cache = emptyCache();
	}

	private PromptCache emptyCache() {
		return new PromptCache((this.memory != null) ? this.memory.tokens() : 0);
	}

	/**
	 * Returns the identifier.
	 * @return the identifier
	 */
	public EndpointId id() {
		return this.entry.id();
	}

	/**
	 * Returns the endpoint's latest entry in the list of endpoints.
	 * @return the entry
	 */
	public EndpointEntry entry() {
		return this.entry;
	}

	/**
	 * Returns the number of this gateway's requests in flight at the endpoint.
	 * @return the number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Sets the engine memory configured for the endpoint's service. A change clears the
	 * estimate of the cached prompts.
	 * @param newMemory the engines' memory, or {@code null} for a plain service
	 */
	void setMemory(@Nullable EngineMemory newMemory) {
		if (!Objects.equals(newMemory, this.memory)) {
			this.memory = newMemory;
			this.cache = emptyCache();
		}
	}

	void update(EndpointEntry newer) {
		if (!newer.sameIncarnation(this.entry)) {
			this.cache = emptyCache();
			this.consecutiveFailures = 0;
			this.failureRate = 0;
			this.backoffUntil = Long.MIN_VALUE;
			this.processLife.clear();
			this.pause = new EndpointPause();
			this.shutdownAnnounced = false;
			this.rateLimiter = new EndpointRateLimiter(newer.id(), this.allocation);
			this.concurrencyLimiter = new ConcurrencyLimiter(newer.id(), this.allocation, this.rejectionTolerance);
		}
		this.entry = newer;
		this.unlistedAt = null;
	}

	void markUnlisted(long now) {
		if (this.unlistedAt == null) {
			this.unlistedAt = now;
		}
	}

	@Nullable Long unlistedAt() {
		return this.unlistedAt;
	}

	/**
	 * Records that a request was sent.
	 * @param prompt the request's prompt
	 * @param prefillTokens the prompt tokens to prefill
	 * @param now the current time
	 */
	public void requestSent(Prompt prompt, int prefillTokens, long now) {
		this.inFlight++;
		this.concurrencyLimiter.sent(this.inFlight, this.entry.slots(), now);
		this.pendingPrefillTokens += prefillTokens;
		this.cache.add(prompt);
	}

	/**
	 * Records that a request's prefill completed or was abandoned.
	 * @param prefillTokens the prompt tokens that were to be prefilled
	 */
	public void prefillCompleted(int prefillTokens) {
		this.pendingPrefillTokens = Math.max(0, this.pendingPrefillTokens - prefillTokens);
	}

	/**
	 * Records that a request is no longer in flight, whatever its outcome.
	 */
	public void requestCompleted() {
		this.inFlight--;
	}

	/**
	 * Records an answer, which shows that the endpoint is alive and ends its backoff.
	 * @param successful whether the answer is a success
	 * @param now the current time
	 */
	public void requestAnswered(boolean successful, long now) {
		this.consecutiveFailures = 0;
		this.backoffUntil = Long.MIN_VALUE;
		recordOutcome(successful ? 0 : 1, now);
	}

	private void recordOutcome(double failure, long now) {
		double previous = failureRate(now);
		this.failureRate = previous + OUTCOME_WEIGHT * (failure - previous);
		this.outcomeAt = now;
	}

	/**
	 * Records a request without a valid answer: rejected, reset, timed out or malformed.
	 * Requests that were sent before the previous failure count as part of it: many are
	 * lost together when connections are reset.
	 * @param sentAt when the request was sent
	 * @param now the current time
	 */
	public void requestFailed(long sentAt, long now) {
		recordOutcome(1, now);
		this.concurrencyLimiter.endpointFailed(now);
		if (this.consecutiveFailures > 0 && sentAt <= this.latestFailureAt) {
			return;
		}
		this.latestFailureAt = now;
		this.consecutiveFailures++;
		if (this.consecutiveFailures > 1) {
			int doublings = Math.min(this.consecutiveFailures - 2, 10);
			long backoff = Math.min(INITIAL_BACKOFF.toNanos() << doublings, MAXIMUM_BACKOFF.toNanos());
			this.backoffUntil = now + backoff;
		}
	}

	/**
	 * Records that no process, or another endpoint, listens at the address. Starts the
	 * backoff at the first failure.
	 * @param sentAt when the request was sent
	 * @param now the current time
	 */
	public void unreachable(long sentAt, long now) {
		this.consecutiveFailures = Math.max(this.consecutiveFailures, 1);
		requestFailed(sentAt, now);
	}

	/**
	 * Records that the endpoint stated in an answer that it is shutting down. Its entry
	 * in the list may show this later or never.
	 * @return whether this was not known before
	 */
	public boolean recordShutdownAnnouncement() {
		boolean known = draining();
		this.shutdownAnnounced = true;
		return !known;
	}

	/**
	 * Returns whether the endpoint is shutting down and accepts no new requests.
	 * @return whether its entry or one of its answers says so
	 */
	public boolean draining() {
		return this.shutdownAnnounced || this.entry.draining();
	}

	/**
	 * Records the rejections in a second that the endpoint announces to bear.
	 * @param rejectionsPerSecond the number, from all gateways together
	 * @param now the current time
	 * @return whether the endpoints of the service announced none before
	 */
	public boolean announceToleratedRejections(double rejectionsPerSecond, long now) {
		return this.rejectionTolerance.announce(rejectionsPerSecond, now);
	}

	/**
	 * Records that the endpoint rejected a request for want of room.
	 * @param now the current time
	 */
	public void requestRejected(long now) {
		this.concurrencyLimiter.rejected(this.inFlight, this.entry.slots(), now);
	}

	/**
	 * Returns the pause that the endpoint asked this gateway for.
	 * @return the pause
	 */
	public EndpointPause pause() {
		return this.pause;
	}

	/**
	 * Returns the time after which a caller that is rejected now may retry.
	 * @param now the current time
	 * @return the time, zero if requests may be sent
	 */
	Duration retryAfter(long now) {
		Duration pauseEnd = this.pause.retryAfter(now);
		Duration rateLimit = this.rateLimiter.retryAfter(now);
		Duration longer = (pauseEnd.compareTo(rateLimit) > 0) ? pauseEnd : rateLimit;
		return (longer.isZero() && !hasPlace(now)) ? this.concurrencyLimiter.retryAfter(now) : longer;
	}

	/**
	 * Returns whether the endpoints of the service announce how many rejections they
	 * bear.
	 * @param now the current time
	 * @return whether such a limit is in force
	 */
	boolean limitsRejections(long now) {
		return this.rejectionTolerance.current(now) != null;
	}

	/**
	 * Records whether a request found a place at any endpoint of the service.
	 * @param found whether it did
	 * @param now the current time
	 */
	void recordDemand(boolean found, long now) {
		this.rejectionTolerance.recordDemand(found, now);
	}

	private boolean hasPlace(long now) {
		return this.concurrencyLimiter.permits(this.inFlight, running(now), this.entry.slots(), now);
	}

	/**
	 * Returns whether the endpoint accepts a request now.
	 * @param now the current time
	 * @return whether no pause and no limit forbids it
	 */
	boolean permitsRequest(long now) {
		return this.pause.remaining(now).isZero() && this.rateLimiter.permits(now) && hasPlace(now);
	}

	/**
	 * Returns the time in which the endpoint's process is known to have run.
	 * @return the time
	 */
	public ProcessLife processLife() {
		return this.processLife;
	}

	/**
	 * Records a load report of the endpoint.
	 * @param report the report
	 * @param now the current time
	 */
	public void updateLoad(LoadReport report, long now) {
		this.unattributedAtReport = Math.max(0,
				report.running() + report.waiting() - this.inFlight - this.remoteInFlight);
		this.queuedAtReport = report.waiting();
		this.reportedAt = now;
		if (report.slowdown() != null) {
			this.partition.recordSlowdownAnnounced();
		}
	}

	/**
	 * Returns the division of the service's endpoints by latency target.
	 * @return the division, shared by all endpoints of the service
	 */
	public EndpointPartition partition() {
		return this.partition;
	}

	/**
	 * Returns the limiter that enforces the rate limit declared by the endpoint.
	 * @return the limiter
	 */
	public EndpointRateLimiter rateLimiter() {
		return this.rateLimiter;
	}

	/**
	 * Updates the latency estimates with a measured time to first token.
	 * @param elapsed the time from sending the request to its first token
	 * @param tokens the tokens to prefill before the first token, queued ones included
	 * @param now the current time
	 */
	public void recordTimeToFirstToken(Duration elapsed, long tokens, long now) {
		double sample = Math.clamp(millis(elapsed) / this.prefillLatency.millis(tokens), MINIMUM_SLOWDOWN,
				MAXIMUM_SLOWDOWN);
		double previous = slowdown(now);
		this.slowdown = previous + SAMPLE_WEIGHT * (sample - previous);
		this.slowdownAt = now;
		this.prefillLatency.addSample(millis(elapsed), tokens);
	}

	/**
	 * Returns the estimated time to first token on an idle engine of this service.
	 * @param tokens the tokens to prefill before the first token
	 * @return the time in ms
	 */
	public double idleFirstTokenMillis(long tokens) {
		return this.prefillLatency.millis(tokens);
	}

	double slowdown(long now) {
		return 1 + (this.slowdown - 1) * Math.exp((double) (this.slowdownAt - now) / SLOWDOWN_DECAY_NANOS);
	}

	/**
	 * Updates the response time estimate with an answer of a plain service.
	 * @param elapsed the time from sending the request to its answer
	 */
	public void recordResponseTime(Duration elapsed) {
		this.responseMillis += SAMPLE_WEIGHT * (millis(elapsed) - this.responseMillis);
	}

	/**
	 * Returns the prompt tokens of this gateway's requests that wait for prefill.
	 * @return the number of tokens
	 */
	public long pendingPrefillTokens() {
		return this.pendingPrefillTokens;
	}

	/**
	 * Returns the prompt tokens of all gateways' requests that wait for prefill.
	 * @return the number of tokens
	 */
	public long totalPendingPrefillTokens() {
		return this.pendingPrefillTokens + this.remotePendingPrefillTokens;
	}

	/**
	 * Records the load that the other gateways place on the endpoint.
	 * @param requests their requests in flight
	 * @param pendingTokens their prompt tokens that wait for prefill
	 */
	public void updateRemoteLoad(int requests, long pendingTokens) {
		this.remoteInFlight = requests;
		this.remotePendingPrefillTokens = pendingTokens;
	}

	/**
	 * Returns the service time of a request, without queueing.
	 * @param prefillTokens the prompt tokens to prefill
	 * @return the time in ms
	 */
	public double serviceTimeMillis(int prefillTokens) {
		return (this.memory != null) ? prefillMillis(prefillTokens) : this.responseMillis;
	}

	/**
	 * Returns whether requests are withheld because attempts failed.
	 * @param now the current time
	 * @return whether the backoff lasts
	 */
	public boolean backedOff(long now) {
		return now < this.backoffUntil;
	}

	/**
	 * Returns the rest of the backoff.
	 * @param now the current time
	 * @return the time, zero if requests may be sent
	 */
	Duration backoffRemaining(long now) {
		return backedOff(now) ? Duration.ofNanos(this.backoffUntil - now) : Duration.ZERO;
	}

	/**
	 * Returns the time after which a caller that is rejected during the backoff may
	 * retry. Callers that were rejected first return first, and not all at its end.
	 * @param now the current time
	 * @return the time
	 */
	Duration retryAfterBackoff(long now) {
		return backoffRemaining(now).plusNanos((now - this.latestFailureAt) / EndpointPause.RETURN_SPREAD_DIVISOR);
	}

	double failureRate(long now) {
		return this.failureRate * Math.exp((this.outcomeAt - now) / OUTCOME_DECAY_NANOS);
	}

	int uncachedTokens(Prompt prompt) {
		return Math.max(0, prompt.inputTokens() - this.cache.cachedTokens(prompt));
	}

	/**
	 * Returns the tokens of a prompt's shared prefix that are not cached at the endpoint.
	 * @param prompt the prompt
	 * @return the number of tokens
	 */
	int missingPrefixTokens(Prompt prompt) {
		return Math.max(0, prompt.sharedTokens() - this.cache.cachedTokens(prompt));
	}

	double prefillMillis(int tokens) {
		return this.prefillLatency.millisPerToken() * tokens;
	}

	double transferMillis(int tokens) {
		return (this.memory != null) ? this.memory.transferMillisPerToken() * tokens : Double.POSITIVE_INFINITY;
	}

	/**
	 * Predicts the time to an answer, or to a stream's first event.
	 * @param prompt the request's prompt
	 * @param prefillTokens the prompt tokens to prefill
	 * @param now the current time
	 * @return the time in ms
	 */
	double predictedMillis(Prompt prompt, int prefillTokens, long now) {
		double reportWeight = reportWeight(now);
		double running = running(now);
		if (this.memory == null) {
			double occupancy = Math.max(1, (running + 1) / this.entry.slots());
			return this.responseMillis * occupancy;
		}
		double reportedTokens = this.queuedAtReport * reportWeight * meanPromptTokens(prompt);
		double queuedAhead = Math.max((double) totalPendingPrefillTokens(), reportedTokens);
		double waitingForSlot = Math.max(0, running + 1 - this.entry.slots()) * meanPromptTokens(prompt);
		long tokens = Math.round(queuedAhead + waitingForSlot) + prefillTokens;
		return slowdown(now) * this.prefillLatency.millis(tokens) + MILLIS_PER_RUNNING_REQUEST * running;
	}

	private double reportWeight(long now) {
		return (this.reportedAt == Long.MIN_VALUE) ? 0 : Math.exp((this.reportedAt - now) / REPORT_DECAY_NANOS);
	}

	// Requests of all callers at the endpoint, running or queued there.
	private double running(long now) {
		return this.inFlight + this.remoteInFlight + this.unattributedAtReport * reportWeight(now);
	}

	// The lengths of queued prompts are unknown; they are assumed to equal this one's.
	private static double meanPromptTokens(Prompt prompt) {
		return prompt.inputTokens();
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
