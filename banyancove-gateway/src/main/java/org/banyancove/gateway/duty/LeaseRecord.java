package org.banyancove.gateway.duty;

import java.util.List;

/**
 * A gateway's claim to do the shared duties, as it stands in the leases' topic.
 *
 * @param incarnation the process that claims
 * @param fence the number of the claim: higher than of any claim before
 * @param reports the newest usage reports, written down before they are sent
 */
public record LeaseRecord(long incarnation, long fence, List<UsageReport> reports) {

	/**
	 * Creates the record.
	 * @throws IllegalArgumentException if {@code fence} is not positive
	 */
	public LeaseRecord {
		if (fence <= 0) {
			throw new IllegalArgumentException("fence must be positive: " + fence);
		}
		reports = List.copyOf(reports);
	}

}
