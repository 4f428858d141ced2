package org.banyancove.gateway.endpoint;

import java.time.Duration;

/**
 * Predicts the latency of an endpoint from what this gateway measured on it and from the
 * slowdown that it announces.
 * <p>
 * The speed that is learned from first tokens describes the endpoint's lasting speed. The
 * announced slowdown changes within milliseconds. Samples are divided by the announced
 * slowdown before they are used, so that the same effect is not counted twice, and
 * predictions are multiplied by both. Without announcements, samples and predictions are
 * used as they are.
 * <p>
 * Times are nanoseconds of the monotonic clock. Confined to the event loop thread.
 */
public final class EndpointLatency {

	/**
	 * Weight of a new sample in an exponential moving average, which covers about the
	 * last ten samples.
	 */
	private static final double SAMPLE_WEIGHT = 0.1;

	/** Bounds of a single sample of the learned slowdown. */
	private static final double MINIMUM_SLOWDOWN = 0.2;

	private static final double MAXIMUM_SLOWDOWN = 20;

	/**
	 * Time constant of the learned slowdown's decay, in ns. An engine that is avoided, or
	 * whose requests are all rejected, receives no request that shows its recovery.
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

	private final PrefillLatency prefillLatency;

	private EndpointSlowdown announced = new EndpointSlowdown();

	private double learnedSlowdown = 1;

	private long learnedAt;

	private double responseMillis = INITIAL_RESPONSE_MILLIS;

	EndpointLatency(PrefillLatency prefillLatency) {
		this.prefillLatency = prefillLatency;
	}

	/**
	 * Drops what the endpoint's former process announced. The learned speed is kept,
	 * since the new process usually runs on the same machine.
	 */
	void processReplaced() {
		this.announced = new EndpointSlowdown();
	}

	/**
	 * Returns the slowdown that the endpoint's present process announces.
	 * @return the slowdown
	 */
	public EndpointSlowdown slowdown() {
		return this.announced;
	}

	/**
	 * Updates the estimates with a measured time to first token.
	 * @param elapsed the time from sending the request to its first token
	 * @param tokens the tokens to prefill before the first token, queued ones included
	 * @param now the current time
	 */
	public void recordTimeToFirstToken(Duration elapsed, long tokens, long now) {
		double usualMillis = millis(elapsed) / this.announced.current(now);
		double sample = Math.clamp(usualMillis / this.prefillLatency.millis(tokens), MINIMUM_SLOWDOWN,
				MAXIMUM_SLOWDOWN);
		double previous = learnedSlowdown(now);
		this.learnedSlowdown = previous + SAMPLE_WEIGHT * (sample - previous);
		this.learnedAt = now;
		this.prefillLatency.addSample(usualMillis, tokens);
	}

	/**
	 * Updates the response time estimate with an answer of a plain service.
	 * @param elapsed the time from sending the request to its answer
	 * @param now the current time
	 */
	public void recordResponseTime(Duration elapsed, long now) {
		double usualMillis = millis(elapsed) / this.announced.current(now);
		this.responseMillis += SAMPLE_WEIGHT * (usualMillis - this.responseMillis);
	}

	/**
	 * Returns the estimated time to first token on an idle engine of this service.
	 * @param tokens the tokens to prefill before the first token
	 * @return the time in ms
	 */
	public double idleFirstTokenMillis(long tokens) {
		return this.prefillLatency.millis(tokens);
	}

	/**
	 * Returns the estimated time to prefill tokens at the usual speed of the service.
	 * @param tokens the number of tokens
	 * @return the time in ms
	 */
	double prefillMillis(int tokens) {
		return this.prefillLatency.millisPerToken() * tokens;
	}

	/**
	 * Returns the estimated response time of a plain service at the endpoint's usual
	 * speed, without queueing.
	 * @return the time in ms
	 */
	double responseMillis() {
		return this.responseMillis;
	}

	/**
	 * Predicts the time to a first token.
	 * @param tokens the tokens to prefill before it, queued ones included
	 * @param running the number of requests at the endpoint
	 * @param now the current time
	 * @return the time in ms
	 */
	double predictedFirstTokenMillis(long tokens, double running, long now) {
		return slowdown(now) * this.prefillLatency.millis(tokens) + MILLIS_PER_RUNNING_REQUEST * running;
	}

	/**
	 * Predicts the time to an answer of a plain service.
	 * @param running the number of requests at the endpoint
	 * @param slots the number of requests that it runs concurrently
	 * @param now the current time
	 * @return the time in ms
	 */
	double predictedResponseMillis(double running, int slots, long now) {
		double occupancy = Math.max(1, (running + 1) / slots);
		return this.announced.current(now) * this.responseMillis * occupancy;
	}

	private double slowdown(long now) {
		return learnedSlowdown(now) * this.announced.current(now);
	}

	private double learnedSlowdown(long now) {
		return 1 + (this.learnedSlowdown - 1) * Math.exp((double) (this.learnedAt - now) / SLOWDOWN_DECAY_NANOS);
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
