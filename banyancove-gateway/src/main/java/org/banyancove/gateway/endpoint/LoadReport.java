package org.banyancove.gateway.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * The load that an endpoint reports with an answer.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the number of requests that the endpoint can run concurrently
 * @param slowdown the time that work takes on the endpoint's machine at this moment
 * relative to the usual time, or {@code null} if the endpoint does not announce it
 */
public record LoadReport(int running, int waiting, int slots, @Nullable Double slowdown) {

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if a count is negative or {@code slowdown} is not
	 * positive
	 */
	public LoadReport {
		if (running < 0 || waiting < 0 || slots < 0) {
			throw new IllegalArgumentException(
					"running, waiting and slots must not be negative: " + running + ", " + waiting + ", " + slots);
		}
		if (slowdown != null && !(slowdown > 0)) {
			throw new IllegalArgumentException("slowdown must be positive: " + slowdown);
		}
	}

	/**
	 * Returns this report without the slowdown.
	 * @return the running requests, queued requests and slots alone
	 */
	public LoadReport withoutSlowdown() {
		return new LoadReport(this.running, this.waiting, this.slots, null);
	}

}
