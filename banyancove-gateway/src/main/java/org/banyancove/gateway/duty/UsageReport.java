package org.banyancove.gateway.duty;

import java.util.Map;

import org.banyancove.core.AccountName;

/**
 * The usage report of one window. It is immutable once recorded: two different reports of
 * a window would produce conflicting charges.
 *
 * @param window the window's number
 * @param counts the number of requests started, by client account
 */
public record UsageReport(long window, Map<AccountName, Long> counts) {

	/**
	 * Creates a report.
	 */
	public UsageReport {
		counts = Map.copyOf(counts);
	}

}
