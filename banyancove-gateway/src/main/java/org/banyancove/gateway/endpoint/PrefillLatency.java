package org.banyancove.gateway.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the time to first token on an idle engine, as a fixed latency plus a latency
 * for each prompt token.
 * <p>
 * In a burst, prompts queue and the time to first token grows with the queue. A mean of
 * those times would attribute the queueing to slow engines, and several times the engines
 * needed would be ordered. The estimate therefore tracks the lower quartile, whose
 * samples found the engine nearly idle. The fixed latency is estimated separately:
 * attributed to prefill, it would make every short prompt appear as expensive as a long
 * one.
 * <p>
 * Shared by all engines of a service, so that a newly started engine has an estimate.
 */
final class PrefillLatency {

	/** Quantile of the samples that are assumed to include no queueing. */
	private static final double QUANTILE = 0.25;

	/** Relative change of the estimate by one sample in one pass. */
	private static final double STEP_SIZE = 0.02;

	/**
	 * Number of latest samples, all of which are applied again with each new one. A newly
	 * started process receives a few samples per second, and orders endpoints as for slow
	 * engines until the estimate converges.
	 */
	private static final int SAMPLE_WINDOW = 64;

	/** Passes over the latest samples for each new one. */
	private static final int PASSES_PER_SAMPLE = 5;

	/** Initial estimate of the fixed latency, in ms. */
	private static final double INITIAL_FIXED_MILLIS = 15;

	/** Initial estimate of the time to prefill a token, in ms. */
	private static final double INITIAL_MILLIS_PER_TOKEN = 0.02;

	private double fixedMillis = INITIAL_FIXED_MILLIS;

	private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private final Deque<Sample> samples = new ArrayDeque<>(SAMPLE_WINDOW);

	/**
	 * Updates the estimate with a sample. The component that contributes more to the time
	 * is adjusted more, so that short prompts determine the fixed latency and long
	 * prompts the latency per token.
	 * @param millis the time to first token, in ms
	 * @param tokens the tokens prefilled before the first token
	 */
	void addSample(double millis, long tokens) {
		if (this.samples.size() == SAMPLE_WINDOW) {
			this.samples.removeFirst();
		}
		this.samples.addLast(new Sample(millis, tokens));
		for (int pass = 0; pass < PASSES_PER_SAMPLE; pass++) {
			this.samples.forEach(this::adjust);
		}
	}

	private void adjust(Sample sample) {
		double expected = millis(sample.tokens());
		double step = STEP_SIZE * ((sample.millis() < expected) ? QUANTILE - 1 : QUANTILE);
		double fixedShare = this.fixedMillis / expected;
		this.fixedMillis *= Math.exp(step * fixedShare);
		this.millisPerToken *= Math.exp(step * (1 - fixedShare));
	}

	/**
	 * Returns the estimated time to first token.
	 * @param tokens the tokens to prefill before the first token
	 * @return the time in ms
	 */
	double millis(long tokens) {
		return this.fixedMillis + this.millisPerToken * tokens;
	}

	/**
	 * Returns the estimated time to prefill a token.
	 * @return the time in ms
	 */
	double millisPerToken() {
		return this.millisPerToken;
	}

	private record Sample(double millis, long tokens) {
	}

}
