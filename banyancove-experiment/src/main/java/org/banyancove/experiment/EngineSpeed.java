package org.banyancove.experiment;

/**
 * The speed and capacity of a model engine.
 *
 * @param promptTokensPerSecond the prefill rate, in prompt tokens per second
 * @param stepSeconds the time of a decoding step with an empty batch
 * @param stepSecondsPerSequence the time that each sequence in the batch adds to a step
 * @param slots the maximum batch size
 * @param kvLimit the capacity of the KV cache for running sequences, in tokens
 * @param cacheTokens the capacity of the prefix cache, in tokens
 */
record EngineSpeed(double promptTokensPerSecond, double stepSeconds, double stepSecondsPerSequence, int slots,
		long kvLimit, long cacheTokens) {

	/**
	 * Returns the throughput at which the engine meets a target.
	 * @param shape the mean request
	 * @param tokenTarget the target for the time between tokens, in seconds
	 * @return the requests per second
	 */
	double requestsPerSecond(RequestShape shape, double tokenTarget) {
		int largestBatch = (int) Math.floor((tokenTarget - this.stepSeconds) / this.stepSecondsPerSequence);
		int batch = Math.clamp(largestBatch, 1, this.slots);
		double step = this.stepSeconds + batch * this.stepSecondsPerSequence;
		double prefill = shape.uncachedTokens() / this.promptTokensPerSecond;
		return 1 / (prefill + shape.outputTokens() * step / batch);
	}

}
