package org.banyancove.core.routing;

/**
 * A linear regression over recent observations with exponentially decaying weights.
 * <p>
 * Neither coefficient becomes negative, since more work never takes less time.
 */
final class LinearRegression {

	private static final double DECAY = 0.98;

	/** Relative variance below which the observations do not determine a slope. */
	private static final double MINIMUM_RELATIVE_VARIANCE = 1e-6;

	private double weight;

	private double sumX;

	private double sumY;

	private double sumXX;

	private double sumXY;

	private double slope;

	private double intercept;

	/**
	 * Initializes this regression from another one, which is weighted like a few
	 * observations.
	 * @param other the regression to copy
	 * @param observations the maximum weight of the copy, as a number of observations
	 */
	void initializeFrom(LinearRegression other, double observations) {
		if (other.weight == 0) {
			return;
		}
		double factor = Math.min(1, observations / other.weight);
		this.weight = other.weight * factor;
		this.sumX = other.sumX * factor;
		this.sumY = other.sumY * factor;
		this.sumXX = other.sumXX * factor;
		this.sumXY = other.sumXY * factor;
		fit();
	}

	void observe(double x, double y) {
		this.weight = this.weight * DECAY + 1;
		this.sumX = this.sumX * DECAY + x;
		this.sumY = this.sumY * DECAY + y;
		this.sumXX = this.sumXX * DECAY + x * x;
		this.sumXY = this.sumXY * DECAY + x * y;
		fit();
	}

	boolean isEmpty() {
		return this.weight == 0;
	}

	double predict(double x) {
		return this.intercept + this.slope * x;
	}

	private void fit() {
		double meanX = this.sumX / this.weight;
		double meanY = this.sumY / this.weight;
		double variance = this.sumXX / this.weight - meanX * meanX;
		double covariance = this.sumXY / this.weight - meanX * meanY;
		if (variance <= MINIMUM_RELATIVE_VARIANCE * (1 + meanX * meanX)) {
			fitThroughOrigin(meanX, meanY);
			return;
		}
		this.slope = Math.max(0, covariance / variance);
		this.intercept = meanY - this.slope * meanX;
		if (this.intercept < 0) {
			fitThroughOrigin(meanX, meanY);
		}
	}

	private void fitThroughOrigin(double meanX, double meanY) {
		this.slope = ((meanX > 0) ? meanY / meanX : 0);
		this.intercept = ((meanX > 0) ? 0 : meanY);
	}

}
