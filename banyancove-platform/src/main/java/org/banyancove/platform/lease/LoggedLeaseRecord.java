package org.banyancove.platform.lease;

import java.time.Instant;

import org.banyancove.core.planner.LeaseRecord;

/**
 * A record that was read from the leases stream.
 *
 * @param offset the record's offset, which is the fencing number of a lease that it may
 * acquire
 * @param record the record
 * @param appendedAt the log's time of the append
 */
public record LoggedLeaseRecord(long offset, LeaseRecord record, Instant appendedAt) {

}
