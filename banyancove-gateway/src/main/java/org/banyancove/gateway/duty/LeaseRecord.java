package org.banyancove.gateway.duty;

import java.util.List;

import org.banyancove.gateway.rollout.Rollout;

/**
 * A record in the leases topic: a gateway's claim of the lease for the fleet-wide duties,
 * or its renewal.
 *
 * @param holder the name of the claiming gateway, which is stable across restarts of its
 * process
 * @param incarnation the incarnation of the claiming process
 * @param fence the fencing token, higher than that of any previous claim
 * @param reports the newest usage reports, recorded before they are sent
 * @param rollouts the rollout decisions, recorded before they take effect
 */
public record LeaseRecord(String holder, long incarnation, long fence, List<UsageReport> reports,
		List<Rollout> rollouts) {

	/**
	 * Creates a record.
	 * @throws IllegalArgumentException if {@code fence} is not positive
	 */
	public LeaseRecord {
		if (fence <= 0) {
			throw new IllegalArgumentException("fence must be positive: " + fence);
		}
		reports = List.copyOf(reports);
		rollouts = List.copyOf(rollouts);
	}

}
