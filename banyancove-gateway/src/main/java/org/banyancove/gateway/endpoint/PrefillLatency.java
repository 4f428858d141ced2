package org.banyancove.gateway.endpoint;

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

	static final double INCREASING_STEP = STEP_SIZE * QUANTILE;

	static final double DECREASING_STEP = STEP_SIZE * (QUANTILE - 1);

	private double fixedMillis = INITIAL_FIXED_MILLIS;

	private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private final double[] sampleMillis = new double[SAMPLE_WINDOW];

	private final double[] sampleTokens = new double[SAMPLE_WINDOW];

	private long sampleCount;

	/**
	 * Updates the estimate with a sample. The component that contributes more to the time
	 * is adjusted more, so that short prompts determine the fixed latency and long
	 * prompts the latency per token.
	 * @param millis the time to first token, in ms
	 * @param tokens the tokens prefilled before the first token
	 */
	void addSample(double millis, long tokens) {
		int latest = (int) (this.sampleCount % SAMPLE_WINDOW);
		this.sampleMillis[latest] = millis;
		this.sampleTokens[latest] = tokens;
		this.sampleCount++;
		int size = (int) Math.min(this.sampleCount, SAMPLE_WINDOW);
		int oldest = (int) ((this.sampleCount - size) % SAMPLE_WINDOW);
		for (int pass = 0; pass < PASSES_PER_SAMPLE; pass++) {
			adjust(oldest, size);
			adjust(0, oldest);
		}
	}

	private void adjust(int from, int to) {
		double fixed = this.fixedMillis;
		double perToken = this.millisPerToken;
		for (int i = from; i < to; i++) {
			double expected = fixed + perToken * this.sampleTokens[i];
			double step = (this.sampleMillis[i] < expected) ? DECREASING_STEP : INCREASING_STEP;
			double fixedShare = fixed / expected;
			fixed *= exponential(step * fixedShare);
			perToken *= exponential(step * (1 - fixedShare));
		}
		this.fixedMillis = fixed;
		this.millisPerToken = perToken;
	}

	// The Taylor series; for exponents from DECREASING_STEP to INCREASING_STEP, the terms
	// left out are below the precision of a double. Math.exp took most of the time of the
	// passes.
	static double exponential(double exponent) {
		return 1 + exponent * (1 + exponent
				* (1.0 / 2 + exponent * (1.0 / 6 + exponent * (1.0 / 24 + exponent * (1.0 / 120 + exponent / 720)))));
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

}
