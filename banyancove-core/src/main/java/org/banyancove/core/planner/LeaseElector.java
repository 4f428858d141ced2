package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ledger.RecordId;
import org.jspecify.annotations.Nullable;

/**
 * Acquires and renews one process's lease on its data center.
 * <p>
 * The local clock determines only when to append, and when to stop acting early. A holder
 * that resumes after a pause may still act briefly under an old fencing number: endpoints
 * that check fencing numbers refuse it, and for the others all orders contain the
 * complete desired state and are verified by reading it back. Used by one thread.
 */
public final class LeaseElector {

	private static final int RENEWALS_PER_LEASE = 3;

	private static final int MAXIMUM_PENDING_RECORDS = 16;

	private final Incarnation self;

	private final DataCenterName dataCenter;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final Duration duration;

	private final Consumer<LeaseRecord> append;

	private final LeaseTable table = new LeaseTable();

	private Instant appendNotBefore = Instant.MIN;

	private Instant lastChangeAt;

	private final Map<RecordId, Instant> sendTimes = new LinkedHashMap<>();

	private long nextRecordNumber;

	private Instant leaseRenewedAt = Instant.MIN;

	private boolean resigned;

	/**
	 * Creates the elector.
	 * @param self this process
	 * @param dataCenter the data center to plan for
	 * @param clock the clock that determines when to append
	 * @param random the random generator for jitter
	 * @param duration the duration of a lease without a renewal
	 * @param append appends a record to the stream of leases, without retries
	 */
	public LeaseElector(Incarnation self, DataCenterName dataCenter, InstantSource clock, RandomGenerator random,
			Duration duration, Consumer<LeaseRecord> append) {
		this.self = self;
		this.dataCenter = dataCenter;
		this.clock = clock;
		this.random = random;
		this.duration = duration;
		this.append = append;
		this.lastChangeAt = clock.instant();
	}

	/**
	 * Applies a record that was read from the stream.
	 * @param offset the record's offset
	 * @param record the record
	 * @param appendedAt the log's time of the append
	 */
	public void applyRecord(long offset, LeaseRecord record, Instant appendedAt) {
		Lease before = lease();
		this.table.apply(offset, record, appendedAt);
		Lease after = lease();
		if (after == null) {
			this.lastChangeAt = Instant.MIN;
		}
		else if (!after.equals(before)) {
			this.lastChangeAt = this.clock.instant();
		}
		Instant sentAt = this.sendTimes.remove(record.id());
		if (sentAt != null && after != null && after.holder().equals(this.self)) {
			this.leaseRenewedAt = sentAt;
		}
	}

	/**
	 * Appends a renewal if it is due, or an acquisition if the lease is not being
	 * renewed.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		if (this.resigned || now.isBefore(this.appendNotBefore)) {
			return;
		}
		Lease lease = lease();
		if (lease != null && lease.holder().equals(this.self)) {
			send(new LeaseRecord.Renewed(newRecordId(), this.dataCenter, this.self, lease.fence(), this.duration), now);
		}
		else if (lease == null || !now.isBefore(this.lastChangeAt.plus(this.duration))) {
			send(new LeaseRecord.Acquired(newRecordId(), this.dataCenter, this.self, this.duration), now);
		}
	}

	/**
	 * Returns the fencing number under which this process acts.
	 * @return the fencing number, or empty if this process must not act: it does not hold
	 * the lease, or could not renew it in time
	 */
	public OptionalLong fence() {
		Lease lease = lease();
		if (this.resigned || lease == null || !lease.holder().equals(this.self)
				|| !this.clock.instant().isBefore(this.leaseRenewedAt.plus(this.duration))) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(lease.fence());
	}

	/**
	 * Resigns the lease and never acquires it again, on shutdown.
	 */
	public void resign() {
		Lease lease = lease();
		this.resigned = true;
		if (lease != null && lease.holder().equals(this.self)) {
			this.append.accept(new LeaseRecord.Resigned(newRecordId(), this.dataCenter, this.self, lease.fence()));
		}
	}

	private void send(LeaseRecord record, Instant now) {
		Duration renewalInterval = this.duration.dividedBy(RENEWALS_PER_LEASE);
		this.sendTimes.put(record.id(), now);
		if (this.sendTimes.size() > MAXIMUM_PENDING_RECORDS) {
			this.sendTimes.remove(this.sendTimes.keySet().iterator().next());
		}
		this.appendNotBefore = now.plus(renewalInterval.dividedBy(2))
			.plusNanos((long) (renewalInterval.toNanos() * 0.5 * this.random.nextDouble()));
		this.append.accept(record);
	}

	private RecordId newRecordId() {
		return RecordId.of(this.self, this.nextRecordNumber++);
	}

	private @Nullable Lease lease() {
		return this.table.find(this.dataCenter).orElse(null);
	}

}
