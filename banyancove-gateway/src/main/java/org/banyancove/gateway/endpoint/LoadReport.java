package org.banyancove.gateway.endpoint;

/**
 * The load that an endpoint reports with an answer.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the number of requests that the endpoint can run concurrently
 */
public record LoadReport(int running, int waiting, int slots) {

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if a value is negative
	 */
	public LoadReport {
		if (running < 0 || waiting < 0 || slots < 0) {
			throw new IllegalArgumentException(
					"running, waiting and slots must not be negative: " + running + ", " + waiting + ", " + slots);
		}
	}

}
