package org.banyancove.core.routing;

/**
 * A running attempt of a request at an endpoint. Times are in seconds.
 */
final class Attempt {

	private final double startedAt;

	private final double uncachedTokens;

	private final double workTokens;

	private final double concurrency;

	private final int ownInFlight;

	private final double firstTokenTarget;

	private final double tokenTarget;

	private double firstTokenAt = Double.NaN;

	private int tokenCount;

	private double lastTokenAt;

	Attempt(double startedAt, double uncachedTokens, double workTokens, double concurrency, int ownInFlight,
			double firstTokenTarget, double tokenTarget) {
		this.startedAt = startedAt;
		this.uncachedTokens = uncachedTokens;
		this.workTokens = workTokens;
		this.concurrency = concurrency;
		this.ownInFlight = ownInFlight;
		this.firstTokenTarget = firstTokenTarget;
		this.tokenTarget = tokenTarget;
	}

	boolean isWaitingForFirstToken() {
		return Double.isNaN(this.firstTokenAt);
	}

	void recordFirstToken(double now) {
		this.firstTokenAt = now;
		this.lastTokenAt = now;
	}

	void recordTokens(int count, double now) {
		this.tokenCount += count;
		this.lastTokenAt = now;
	}

	double startedAt() {
		return this.startedAt;
	}

	double uncachedTokens() {
		return this.uncachedTokens;
	}

	double workTokens() {
		return this.workTokens;
	}

	double concurrency() {
		return this.concurrency;
	}

	/**
	 * Returns the number of this entry's attempts at the endpoint when this one started,
	 * including this one.
	 * @return the number of attempts
	 */
	int ownInFlight() {
		return this.ownInFlight;
	}

	/**
	 * Returns the share of the endpoint's requests that were sent by this entry.
	 * @return the share, at most 1
	 */
	double ownShare() {
		return Math.min(1, this.ownInFlight / this.concurrency);
	}

	double firstTokenTarget() {
		return this.firstTokenTarget;
	}

	double tokenTarget() {
		return this.tokenTarget;
	}

	int tokenCount() {
		return this.tokenCount;
	}

	double secondsPerToken() {
		return (this.lastTokenAt - this.firstTokenAt) / this.tokenCount;
	}

}
