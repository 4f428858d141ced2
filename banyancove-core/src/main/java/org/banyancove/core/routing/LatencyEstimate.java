package org.banyancove.core.routing;

/**
 * Estimates an endpoint's latency from this entry's attempts at it.
 */
final class LatencyEstimate {

	/**
	 * Weight of the machine class's history at a new endpoint, as a number of attempts.
	 */
	private static final double CLASS_HISTORY_OBSERVATIONS = 3;

	private static final double MEAN_WEIGHT = 0.1;

	private final LinearRegression firstToken = new LinearRegression();

	private final LinearRegression perToken = new LinearRegression();

	private double meanPromptTokens;

	private double meanTotalSeconds;

	void initializeFrom(LatencyEstimate classEstimate) {
		this.firstToken.initializeFrom(classEstimate.firstToken, CLASS_HISTORY_OBSERVATIONS);
		this.perToken.initializeFrom(classEstimate.perToken, CLASS_HISTORY_OBSERVATIONS);
		this.meanPromptTokens = classEstimate.meanPromptTokens;
		this.meanTotalSeconds = classEstimate.meanTotalSeconds;
	}

	void observeFirstToken(double workTokens, double seconds) {
		this.firstToken.observe(workTokens, seconds);
	}

	void observePerToken(double concurrency, double seconds) {
		this.perToken.observe(concurrency, seconds);
	}

	void observePrompt(double uncachedTokens) {
		this.meanPromptTokens = mean(this.meanPromptTokens, uncachedTokens);
	}

	void observeTotal(double seconds) {
		this.meanTotalSeconds = mean(this.meanTotalSeconds, seconds);
	}

	boolean isUnknown() {
		return this.firstToken.isEmpty();
	}

	double firstTokenSeconds(double workTokens) {
		return this.firstToken.predict(workTokens);
	}

	double perTokenSeconds(double concurrency) {
		return this.perToken.predict(concurrency);
	}

	double meanPromptTokens() {
		return this.meanPromptTokens;
	}

	double meanTotalSeconds() {
		return this.meanTotalSeconds;
	}

	private static double mean(double mean, double value) {
		return ((mean == 0) ? value : mean + MEAN_WEIGHT * (value - mean));
	}

}
