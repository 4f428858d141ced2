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
 * Gets and keeps one process's lease on its data center.
 * <p>
 * The local clock decides only when to append, and when to stop acting early. A holder
 * that is paused and wakes up may still act for a moment under an old fencing number:
 * endpoints that check refuse it, and for the others all orders name the wanted state and
 * are checked by reading back. Used by one thread.
 */
public final class LeaseKeeper {

	private static final int RENEWALS_PER_LEASE = 3;

	private static final int REMEMBERED_RECORDS = 16;

	private final Incarnation self;

	private final DataCenterName dataCenter;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final Duration duration;

	private final Consumer<LeaseRecord> append;

	private final LeaseTable table = new LeaseTable();

	private Instant appendNotBefore = Instant.MIN;

	private Instant lastHeard;

	private final Map<RecordId, Instant> sent = new LinkedHashMap<>();

	private long nextRecord;

	private Instant heldSince = Instant.MIN;

	private boolean resigned;

	/**
	 * Creates the keeper.
	 * @param self this process
	 * @param dataCenter the data center to plan for
	 * @param clock the clock for when to append
	 * @param random the source of jitter
	 * @param duration how long a lease lasts without a renewal
	 * @param append appends a record to the stream of leases, without repeating it
	 */
	public LeaseKeeper(Incarnation self, DataCenterName dataCenter, InstantSource clock, RandomGenerator random,
			Duration duration, Consumer<LeaseRecord> append) {
		this.self = self;
		this.dataCenter = dataCenter;
		this.clock = clock;
		this.random = random;
		this.duration = duration;
		this.append = append;
		this.lastHeard = clock.instant();
	}

	/**
	 * Takes a record that was read from the stream.
	 * @param offset the record's offset
	 * @param record the record
	 * @param appendedAt the log's time of the append
	 */
	public void recordRead(long offset, LeaseRecord record, Instant appendedAt) {
		Lease before = lease();
		this.table.apply(offset, record, appendedAt);
		Lease after = lease();
		if (after == null) {
			this.lastHeard = Instant.MIN;
		}
		else if (!after.equals(before)) {
			this.lastHeard = this.clock.instant();
		}
		Instant sentAt = this.sent.remove(record.id());
		if (sentAt != null && after != null && after.holder().equals(this.self)) {
			this.heldSince = sentAt;
		}
	}

	/**
	 * Appends what is due: a renewal, or a try for a lease that nobody renews.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		if (this.resigned || now.isBefore(this.appendNotBefore)) {
			return;
		}
		Lease lease = lease();
		if (lease != null && lease.holder().equals(this.self)) {
			send(new LeaseRecord.Renewed(newRecord(), this.dataCenter, this.self, lease.fence(), this.duration), now);
		}
		else if (lease == null || !now.isBefore(this.lastHeard.plus(this.duration))) {
			send(new LeaseRecord.Acquired(newRecord(), this.dataCenter, this.self, this.duration), now);
		}
	}

	/**
	 * Returns the fencing number to act under.
	 * @return the fencing number, or empty if this process must not act: it does not hold
	 * the lease, or could not renew it in time
	 */
	public OptionalLong fence() {
		Lease lease = lease();
		if (this.resigned || lease == null || !lease.holder().equals(this.self)
				|| !this.clock.instant().isBefore(this.heldSince.plus(this.duration))) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(lease.fence());
	}

	/**
	 * Gives the lease up and never asks for it again: on a stop.
	 */
	public void resign() {
		Lease lease = lease();
		this.resigned = true;
		if (lease != null && lease.holder().equals(this.self)) {
			this.append.accept(new LeaseRecord.Resigned(newRecord(), this.dataCenter, this.self, lease.fence()));
		}
	}

	private void send(LeaseRecord record, Instant now) {
		Duration pace = this.duration.dividedBy(RENEWALS_PER_LEASE);
		this.sent.put(record.id(), now);
		if (this.sent.size() > REMEMBERED_RECORDS) {
			this.sent.remove(this.sent.keySet().iterator().next());
		}
		this.appendNotBefore = now.plus(pace.dividedBy(2))
			.plusNanos((long) (pace.toNanos() * 0.5 * this.random.nextDouble()));
		this.append.accept(record);
	}

	private RecordId newRecord() {
		return RecordId.of(this.self, this.nextRecord++);
	}

	private @Nullable Lease lease() {
		return this.table.find(this.dataCenter).orElse(null);
	}

}
