package org.banyancove.gateway.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects answers that take several times longer than the baseline's, by measure.
 * <p>
 * The reference is the moving average of the baseline's answers over the same time: a
 * burst delays the answers of both versions and must not be attributed to the candidate.
 */
final class SlowAnswerDetector {

	/** Multiple of the baseline's mean above which an answer is slow. */
	private static final double SLOW_FACTOR = 3;

	/** Weight of the newest answer in the exponential moving average. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** Minimum number of baseline answers for a meaningful mean. */
	private static final int MINIMUM_ANSWERS = 5;

	private final Map<String, BaselineMean> baselineMeans = new HashMap<>();

	/**
	 * Adds an answer of the baseline.
	 * @param measure the name of the measure
	 * @param value the time, in any unit
	 */
	void addBaseline(String measure, double value) {
		BaselineMean baseline = this.baselineMeans.getOrDefault(measure, BaselineMean.NONE);
		double mean = (baseline.answers() == 0) ? value
				: baseline.mean() + SMOOTHING_FACTOR * (value - baseline.mean());
		this.baselineMeans.put(measure, new BaselineMean(baseline.answers() + 1, mean));
	}

	/**
	 * Returns whether an answer is slow.
	 * @param measure the name of the measure
	 * @param value the time, in the unit of the baseline's answers
	 * @return {@code true} if it is several times the baseline's mean
	 */
	boolean isSlow(String measure, double value) {
		BaselineMean baseline = this.baselineMeans.getOrDefault(measure, BaselineMean.NONE);
		return baseline.answers() >= MINIMUM_ANSWERS && value > SLOW_FACTOR * baseline.mean();
	}

	private record BaselineMean(int answers, double mean) {

		private static final BaselineMean NONE = new BaselineMean(0, 0);

	}

}
