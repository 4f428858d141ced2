package org.banyancove.gateway.duty;

import java.util.Map;

import org.banyancove.core.AccountName;

/**
 * What is reported of one window. Once it was written down it is never changed: two
 * reports of a window that differ would be charged against each other.
 *
 * @param window the window's number
 * @param counts the requests that began to run, by client account
 */
public record UsageReport(long window, Map<AccountName, Long> counts) {

	/**
	 * Creates the report.
	 */
	public UsageReport {
		counts = Map.copyOf(counts);
	}

}
