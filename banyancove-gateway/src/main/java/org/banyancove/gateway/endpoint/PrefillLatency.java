package org.banyancove.gateway.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the time to a first token on an idle engine: a fixed part, and a part for
 * each prompt token.
 * <p>
 * Under a burst, prompts queue for each other and the time to a first token grows with
 * the queue. A mean of those times would take the queue for slow engines, and several
 * times as many as needed would be ordered. The estimate follows the lower quartile,
 * which found the engine nearly idle. The fixed part is estimated apart: counted as
 * prefill, it would make every short prompt look like the work of a long one.
 * <p>
 * Shared by the engines of a service, so that an engine that has just started is known.
 */
final class PrefillLatency {

	/** The part of the samples that is taken to have found no queue. */
	private static final double QUARTILE = 0.25;

	/** How far one sample moves the estimate in one pass, as a part of it. */
	private static final double STEP = 0.02;

	/**
	 * The newest samples, all of which move the estimate again at each new one. A process
	 * that has just started gets a few samples a second, and orders for slow engines
	 * until it knows better.
	 */
	private static final int SAMPLES = 64;

	/** How often all of them move the estimate at a new one. */
	private static final int PASSES = 5;

	/** First guess of the fixed part, in ms. */
	private static final double INITIAL_FIXED_MILLIS = 15;

	/** First guess of the time to prefill a token, in ms. */
	private static final double INITIAL_MILLIS_PER_TOKEN = 0.02;

	private double fixedMillis = INITIAL_FIXED_MILLIS;

	private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private final Deque<Sample> samples = new ArrayDeque<>(SAMPLES);

	/**
	 * Learns from a first token. The part of the estimate that contributes more is moved
	 * more, so that short prompts teach the fixed part and long ones the other.
	 * @param millis the time to it, in ms
	 * @param tokens the tokens that were prefilled before it
	 */
	void learn(double millis, long tokens) {
		if (this.samples.size() == SAMPLES) {
			this.samples.removeFirst();
		}
		this.samples.addLast(new Sample(millis, tokens));
		for (int pass = 0; pass < PASSES; pass++) {
			this.samples.forEach(this::move);
		}
	}

	private void move(Sample sample) {
		double expected = millis(sample.tokens());
		double step = STEP * ((sample.millis() < expected) ? QUARTILE - 1 : QUARTILE);
		double fixedShare = this.fixedMillis / expected;
		this.fixedMillis *= Math.exp(step * fixedShare);
		this.millisPerToken *= Math.exp(step * (1 - fixedShare));
	}

	/**
	 * Returns the time to a first token.
	 * @param tokens the tokens to prefill before it
	 * @return the time in ms
	 */
	double millis(long tokens) {
		return this.fixedMillis + this.millisPerToken * tokens;
	}

	/**
	 * Returns the time to prefill a token.
	 * @return the time in ms
	 */
	double millisPerToken() {
		return this.millisPerToken;
	}

	private record Sample(double millis, long tokens) {
	}

}
