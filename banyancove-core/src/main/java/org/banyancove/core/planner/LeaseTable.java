package org.banyancove.core.planner;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Invariant;

/**
 * The current leases, computed from the records of the stream of leases.
 * <p>
 * Only record times and offsets are decisive. A renewal with a higher fencing number than
 * the current lease's replaces the lease: a reader that starts after retention removed
 * the acquiring record finds the lease in its next renewal, and readers that disagreed
 * converge. Used by one thread.
 */
public final class LeaseTable {

	private final Map<DataCenterName, Lease> leases = new HashMap<>();

	private final Map<DataCenterName, Long> highestFences = new HashMap<>();

	/**
	 * Applies a record.
	 * @param offset the record's offset
	 * @param record the record
	 * @param appendedAt the log's time of the append
	 */
	public void apply(long offset, LeaseRecord record, Instant appendedAt) {
		switch (record) {
			case LeaseRecord.Acquired acquired -> acquire(offset, acquired, appendedAt);
			case LeaseRecord.Renewed renewed -> renew(renewed, appendedAt);
			case LeaseRecord.Resigned resigned -> resign(resigned);
		}
	}

	/**
	 * Returns the lease on a data center, expired or not.
	 * @param dataCenter the data center
	 * @return the lease, or empty if there is none
	 */
	public Optional<Lease> find(DataCenterName dataCenter) {
		return Optional.ofNullable(this.leases.get(dataCenter));
	}

	private void acquire(long offset, LeaseRecord.Acquired record, Instant appendedAt) {
		Lease current = this.leases.get(record.dataCenter());
		if (current == null || current.isExpired(appendedAt)) {
			put(record.dataCenter(), new Lease(record.author(), offset, appendedAt, record.duration()));
		}
	}

	private void renew(LeaseRecord.Renewed record, Instant appendedAt) {
		Lease current = this.leases.get(record.dataCenter());
		long highest = this.highestFences.getOrDefault(record.dataCenter(), -1L);
		boolean renewsCurrent = current != null && current.fence() == record.fence()
				&& current.holder().equals(record.author());
		if (renewsCurrent || record.fence() > highest) {
			put(record.dataCenter(), new Lease(record.author(), record.fence(), appendedAt, record.duration()));
		}
	}

	private void resign(LeaseRecord.Resigned record) {
		Lease current = this.leases.get(record.dataCenter());
		if (current != null && current.fence() == record.fence() && current.holder().equals(record.author())) {
			this.leases.remove(record.dataCenter());
		}
	}

	private void put(DataCenterName dataCenter, Lease lease) {
		long highest = this.highestFences.getOrDefault(dataCenter, -1L);
		Invariant.check(lease.fence() >= highest, "fencing number of %s decreased from %s to %s", dataCenter, highest,
				lease.fence());
		this.highestFences.put(dataCenter, lease.fence());
		this.leases.put(dataCenter, lease);
	}

}
