package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.EngineMemory;
import org.jspecify.annotations.Nullable;

/**
 * One endpoint and what this gateway has seen of it.
 * <p>
 * Times are nanoseconds of the steady clock. Belongs to the event loop's thread.
 */
public final class Endpoint {

	/** Weight of the newest sample in running means: about the last ten samples count. */
	private static final double NEWEST = 0.1;

	/**
	 * Weight of a newest outcome: three failures in a row raise the rate above a half.
	 */
	private static final double NEWEST_OUTCOME = 0.25;

	/**
	 * How fast past outcomes lose weight, in ns: most troubles are over after some
	 * seconds. Without it, one that is avoided for its failures would never show that it
	 * is well again, and the others would carry its load for good.
	 */
	private static final double OUTCOME_LIFE_NANOS = 3e9;

	/** Least and most that a sample may claim of an engine's slowdown. */
	private static final double MINIMUM_SLOWDOWN = 0.2;

	private static final double MAXIMUM_SLOWDOWN = 20;

	/**
	 * How fast a learned slowdown fades, in ns. An engine that is avoided, or whose
	 * requests are all rejected, gets none that would show that it is fast again.
	 */
	private static final double SLOWDOWN_LIFE_NANOS = 5e9;

	/** First guess of the time of a plain request, in ms; corrected by answers. */
	private static final double FIRST_PLAIN_MILLIS = 30;

	/**
	 * How much each running request delays a first token, in ms: a step of a full batch
	 * takes some 10 ms longer than of an empty one, and a prompt shares a few steps.
	 */
	private static final double MILLIS_PER_RUNNING = 0.4;

	/**
	 * How fast a report of others' requests loses weight, in ns: requests last about so
	 * long.
	 */
	private static final double REPORT_LIFE_NANOS = 2e9;

	/**
	 * First pause after failures without an answer; doubles, so that a dead one costs
	 * little.
	 */
	private static final Duration FIRST_PAUSE = Duration.ofMillis(500);

	private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(4);

	private EndpointEntry entry;

	private PromptCache cache;

	private @Nullable EngineMemory memory;

	private int inFlight;

	private long pendingPrefillTokens;

	private int othersInFlight;

	private long othersPendingPrefillTokens;

	private double unknownAtReport;

	private double waitingAtReport;

	private long reportedAt = Long.MIN_VALUE;

	private final PrefillLatency prefill;

	private double slowdown = 1;

	private long slowdownAt;

	private double plainMillis = FIRST_PLAIN_MILLIS;

	private double failureRate;

	private long outcomeAt;

	private int failuresInRow;

	private long pausedUntil = Long.MIN_VALUE;

	private final RateLimitAllotment allotment;

	private EndpointRateLimiter rateLimiter;

	private @Nullable Long goneAt;

	Endpoint(EndpointEntry entry, @Nullable EngineMemory memory, PrefillLatency prefill, RateLimitAllotment allotment) {
		this.entry = entry;
		this.allotment = allotment;
		this.rateLimiter = new EndpointRateLimiter(entry.id(), allotment);
		this.prefill = prefill;
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
	 * Returns what the endpoint last reported of itself.
	 * @return the entry
	 */
	public EndpointEntry entry() {
		return this.entry;
	}

	/**
	 * Returns the requests of this gateway that it has now.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Records what the configuration says of the endpoint's service.
	 * @param described its engines' memory, or {@code null} for a plain service
	 */
	void describe(@Nullable EngineMemory described) {
		if (!Objects.equals(described, this.memory)) {
			this.memory = described;
			this.cache = emptyCache();
		}
	}

	void update(EndpointEntry newer) {
		if (!newer.sameStart(this.entry)) {
			this.cache = emptyCache();
			this.failuresInRow = 0;
			this.failureRate = 0;
			this.pausedUntil = Long.MIN_VALUE;
			this.rateLimiter = new EndpointRateLimiter(newer.id(), this.allotment);
		}
		this.entry = newer;
		this.goneAt = null;
	}

	void lapsed(long now) {
		if (this.goneAt == null) {
			this.goneAt = now;
		}
	}

	@Nullable Long lapsedAt() {
		return this.goneAt;
	}

	/**
	 * Records that a request was sent.
	 * @param prompt its prompt
	 * @param prefillTokens the tokens of it that have to be prefilled
	 */
	public void sent(Prompt prompt, int prefillTokens) {
		this.inFlight++;
		this.pendingPrefillTokens += prefillTokens;
		this.cache.add(prompt);
	}

	/**
	 * Records that a request's prompt has been read, or will not be.
	 * @param prefillTokens the tokens of it that had to be prefilled
	 */
	public void promptRead(int prefillTokens) {
		this.pendingPrefillTokens = Math.max(0, this.pendingPrefillTokens - prefillTokens);
	}

	/**
	 * Records that a request has left the endpoint, however it ended.
	 */
	public void left() {
		this.inFlight--;
	}

	/**
	 * Records an answer, which shows that the endpoint lives.
	 * @param sound whether it was a success
	 * @param now the present time
	 */
	public void answered(boolean sound, long now) {
		this.failuresInRow = 0;
		this.pausedUntil = Long.MIN_VALUE;
		learnOutcome(sound ? 0 : 1, now);
	}

	private void learnOutcome(double failure, long now) {
		double before = failureRate(now);
		this.failureRate = before + NEWEST_OUTCOME * (failure - before);
		this.outcomeAt = now;
	}

	/**
	 * Records that no answer came: rejected, reset, silent or unreadable.
	 * @param now the present time
	 */
	public void failed(long now) {
		learnOutcome(1, now);
		this.failuresInRow++;
		if (this.failuresInRow > 1) {
			int doublings = Math.min(this.failuresInRow - 2, 10);
			long pause = Math.min(FIRST_PAUSE.toNanos() << doublings, MAXIMUM_PAUSE.toNanos());
			this.pausedUntil = now + pause;
		}
	}

	/**
	 * Records that nothing listens at the address, or that another endpoint does.
	 * @param now the present time
	 */
	public void unreachable(long now) {
		this.failuresInRow = Math.max(this.failuresInRow, 1);
		failed(now);
	}

	/**
	 * Records a report of the endpoint's load.
	 * @param report the report
	 * @param now the present time
	 */
	public void reported(LoadReport report, long now) {
		this.unknownAtReport = Math.max(0, report.running() + report.waiting() - this.inFlight - this.othersInFlight);
		this.waitingAtReport = report.waiting();
		this.reportedAt = now;
	}

	/**
	 * Returns what keeps the rate limit that the endpoint names.
	 * @return the limiter
	 */
	public EndpointRateLimiter rateLimiter() {
		return this.rateLimiter;
	}

	/**
	 * Learns from the time to a first token.
	 * @param elapsed from sending to the token
	 * @param tokens the tokens that were to be prefilled before it
	 * @param now the present time
	 */
	public void firstToken(Duration elapsed, long tokens, long now) {
		double sample = Math.clamp(millis(elapsed) / this.prefill.millis(tokens), MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN);
		double before = slowdown(now);
		this.slowdown = before + NEWEST * (sample - before);
		this.slowdownAt = now;
		this.prefill.learn(millis(elapsed), tokens);
	}

	/**
	 * Returns the time to a first token on an idle engine of this service.
	 * @param tokens the tokens to prefill before it
	 * @return the time in ms
	 */
	public double idleFirstTokenMillis(long tokens) {
		return this.prefill.millis(tokens);
	}

	private double slowdown(long now) {
		return 1 + (this.slowdown - 1) * Math.exp((double) (this.slowdownAt - now) / SLOWDOWN_LIFE_NANOS);
	}

	/**
	 * Learns from the time of a plain answer.
	 * @param elapsed from sending to the answer
	 */
	public void plainAnswer(Duration elapsed) {
		this.plainMillis += NEWEST * (millis(elapsed) - this.plainMillis);
	}

	/**
	 * Returns the tokens that wait to be read, of this gateway's requests.
	 * @return the tokens
	 */
	public long waitingTokens() {
		return this.pendingPrefillTokens;
	}

	/**
	 * Returns the tokens that wait to be prefilled, of all gateways' requests.
	 * @return the tokens
	 */
	public long queuedTokens() {
		return this.pendingPrefillTokens + this.othersPendingPrefillTokens;
	}

	/**
	 * Records what the other gateways have here.
	 * @param requests their requests
	 * @param unread the prompt tokens of theirs that are still to be read
	 */
	public void others(int requests, long unread) {
		this.othersInFlight = requests;
		this.othersPendingPrefillTokens = unread;
	}

	/**
	 * Returns the engine time that a request takes, without any wait.
	 * @param prefillTokens the tokens of it that have to be prefilled
	 * @return the time in ms
	 */
	public double workMillis(int prefillTokens) {
		return (this.memory != null) ? prefillMillis(prefillTokens) : this.plainMillis;
	}

	boolean paused(long now) {
		return now < this.pausedUntil;
	}

	double failureRate(long now) {
		return this.failureRate * Math.exp((this.outcomeAt - now) / OUTCOME_LIFE_NANOS);
	}

	int uncachedTokens(Prompt prompt) {
		return Math.max(0, prompt.tokensIn() - this.cache.heldTokens(prompt));
	}

	/**
	 * Returns the shared tokens at the start of a prompt that are not held here.
	 * @param prompt the prompt
	 * @return the tokens
	 */
	int missingPrefix(Prompt prompt) {
		return Math.max(0, prompt.sharedTokens() - this.cache.heldTokens(prompt));
	}

	double prefillMillis(int tokens) {
		return this.prefill.millisPerToken() * tokens;
	}

	double transferMillis(int tokens) {
		return (this.memory != null) ? this.memory.transferMillisPerToken() * tokens : Double.POSITIVE_INFINITY;
	}

	/**
	 * Predicts the time to an answer, or to a stream's first event, in ms.
	 * @param prompt the prompt
	 * @param prefillTokens the tokens of it that have to be prefilled
	 * @param now the present time
	 * @return the time in ms
	 */
	double predictedMillis(Prompt prompt, int prefillTokens, long now) {
		double reportWeight = (this.reportedAt == Long.MIN_VALUE) ? 0
				: Math.exp((this.reportedAt - now) / REPORT_LIFE_NANOS);
		double running = this.inFlight + this.othersInFlight + this.unknownAtReport * reportWeight;
		if (this.memory == null) {
			double full = Math.max(1, (running + 1) / this.entry.slots());
			return this.plainMillis * full;
		}
		double reported = this.waitingAtReport * reportWeight * meanPrompt(prompt);
		double ahead = Math.max((double) queuedTokens(), reported);
		double waitingForSlot = Math.max(0, running + 1 - this.entry.slots()) * meanPrompt(prompt);
		long tokens = Math.round(ahead + waitingForSlot) + prefillTokens;
		return slowdown(now) * this.prefill.millis(tokens) + MILLIS_PER_RUNNING * running;
	}

	// What waits at the endpoint is taken to be like what is to be placed.
	private static double meanPrompt(Prompt prompt) {
		return prompt.tokensIn();
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
