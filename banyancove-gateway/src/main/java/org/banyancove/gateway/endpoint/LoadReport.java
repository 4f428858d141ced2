package org.banyancove.gateway.endpoint;

/**
 * What an endpoint reports of its load beside an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests in its queue
 * @param slots the requests that it can run at once
 */
public record LoadReport(int running, int waiting, int slots) {

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if a figure is negative
	 */
	public LoadReport {
		if (running < 0 || waiting < 0 || slots < 0) {
			throw new IllegalArgumentException(
					"running, waiting and slots must not be negative: " + running + ", " + waiting + ", " + slots);
		}
	}

}
