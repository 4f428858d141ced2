package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.List;

import org.banyancove.gateway.rollout.Rollout;
import org.jspecify.annotations.Nullable;

/**
 * Elects at most one gateway to perform the fleet-wide duties, by conditional appends to
 * a topic.
 * <p>
 * A claim is appended only if the topic still ends at the offset that the claimant read,
 * so one of two concurrent claimants fails. The fence is the offset of the claim plus
 * one; it is unique and increases monotonically. The holder measures its lease from the
 * moment before it sent a renewal. The other gateways measure from the moment they read
 * the renewal and wait longer, so a partitioned holder stops before a successor starts.
 * <p>
 * Performs no I/O and reads no clock: times are passed in, in nanoseconds of the
 * monotonic clock.
 */
public final class LeaseElector {

	/**
	 * Fraction of the lease for which the holder acts. The remainder covers calls in
	 * flight and clock drift.
	 */
	private static final double HOLDING_FRACTION = 0.6;

	/**
	 * Fraction of the lease after which the holder renews: allows two attempts before it
	 * stops.
	 */
	private static final double RENEWAL_FRACTION = 0.3;

	/**
	 * Time that the other gateways wait before a takeover, in leases: the holder has
	 * stopped well before.
	 */
	private static final double TAKEOVER_TIMEOUT_LEASES = 1.3;

	/**
	 * Time for which a gateway that lost the lease does not claim it, in leases: an
	 * immediate claim would let two holders act alternately.
	 */
	private static final double CLAIM_BACKOFF_LEASES = 2;

	private final String name;

	private final long incarnation;

	private final long leaseNanos;

	private final double takeoverJitterLeases;

	private @Nullable LeaseRecord newestRecord;

	private long newestRecordReadAt;

	private long topicEnd = -1;

	private long fence;

	private long heldUntil;

	private long claimBackoffUntil;

	private @Nullable LeaseRecord pendingRecord;

	private long pendingSince;

	/**
	 * Creates an elector that does not hold the lease.
	 * @param name the gateway's name
	 * @param incarnation the incarnation of this process
	 * @param lease the duration of a lease
	 * @param jitter a random number from 0 to 1 that spreads the claims of the gateways
	 * @param now the current time
	 */
	public LeaseElector(String name, long incarnation, Duration lease, double jitter, long now) {
		this.name = name;
		this.incarnation = incarnation;
		this.leaseNanos = lease.toNanos();
		this.takeoverJitterLeases = jitter * 0.3;
		this.newestRecordReadAt = now;
		this.claimBackoffUntil = now;
		this.heldUntil = now;
	}

	/**
	 * Applies a record read from the topic; a record with a lower fence than the newest
	 * one is ignored.
	 * @param record the record
	 * @param now the time at which it was read
	 */
	public void apply(LeaseRecord record, long now) {
		LeaseRecord previous = this.newestRecord;
		if (previous != null && record.fence() < previous.fence()) {
			return;
		}
		this.newestRecord = record;
		this.newestRecordReadAt = now;
		if (record.incarnation() == this.incarnation) {
			this.fence = (now < this.claimBackoffUntil) ? 0 : record.fence();
		}
		else if (this.fence != 0) {
			releaseLease(now);
		}
	}

	/**
	 * Records the end of the topic; a lower offset than the known one is ignored.
	 * @param newEnd the offset after the last record
	 */
	public void advanceTopicEnd(long newEnd) {
		this.topicEnd = Math.max(this.topicEnd, newEnd);
	}

	/**
	 * Releases the lease after a process pause was detected. The monotonic clock may not
	 * include the pause, so the response to an append in flight does not prove that the
	 * lease is held either.
	 * @param now the current time
	 */
	public void onProcessPause(long now) {
		if (this.fence != 0 || this.pendingRecord != null) {
			releaseLease(now);
		}
	}

	private void releaseLease(long now) {
		this.pendingRecord = null;
		this.topicEnd = -1;
		this.fence = 0;
		this.heldUntil = now;
		this.claimBackoffUntil = now + (long) (this.leaseNanos * CLAIM_BACKOFF_LEASES);
	}

	/**
	 * Returns whether this gateway may perform the fleet-wide duties.
	 * @param now the current time
	 * @return {@code true} if this gateway holds an unexpired lease
	 */
	public boolean holdsLease(long now) {
		return this.fence != 0 && now < this.heldUntil;
	}

	/**
	 * Returns the fence of this gateway's lease.
	 * @return the fence, or 0 if it has no lease
	 */
	public long fence() {
		return this.fence;
	}

	/**
	 * Returns the usage reports of the newest record.
	 * @return the reports, empty if no record was read
	 */
	public List<UsageReport> reports() {
		return (this.newestRecord != null) ? this.newestRecord.reports() : List.of();
	}

	/**
	 * Returns the rollouts of the newest record.
	 * @return the rollouts, empty if no record was read
	 */
	public List<Rollout> rollouts() {
		return (this.newestRecord != null) ? this.newestRecord.rollouts() : List.of();
	}

	/**
	 * Returns the claim or renewal that is due.
	 * @param reports the usage reports that the record includes
	 * @param rollouts the rollouts that the record includes
	 * @param urgent whether the holder appends before its renewal is due, because state
	 * must be recorded
	 * @param now the current time
	 * @return the record to append, or {@code null} if none is due
	 */
	public @Nullable LeaseRecord nextRecord(List<UsageReport> reports, List<Rollout> rollouts, boolean urgent,
			long now) {
		if (this.pendingRecord != null || this.topicEnd < 0) {
			return null;
		}
		boolean renewing = this.fence != 0;
		long renewAt = this.heldUntil - (long) (this.leaseNanos * (HOLDING_FRACTION - RENEWAL_FRACTION));
		if (renewing && !urgent && now < renewAt) {
			return null;
		}
		if (!renewing && (now < this.claimBackoffUntil || (newestLeaseMayBeActive(now) && !heldByPreviousProcess()))) {
			return null;
		}
		this.pendingRecord = new LeaseRecord(this.name, this.incarnation, renewing ? this.fence : this.topicEnd + 1,
				reports, rollouts);
		this.pendingSince = now;
		return this.pendingRecord;
	}

	private boolean newestLeaseMayBeActive(long now) {
		return this.newestRecord != null && now - this.newestRecordReadAt < this.leaseNanos
				* (TAKEOVER_TIMEOUT_LEASES + this.takeoverJitterLeases);
	}

	// If all processes are killed, the duties pause until the lease expires. A
	// restarted gateway whose previous process held the lease can claim it immediately.
	private boolean heldByPreviousProcess() {
		return this.newestRecord != null && this.newestRecord.holder().equals(this.name)
				&& this.newestRecord.incarnation() != this.incarnation;
	}

	/**
	 * Returns the end offset that the topic must have for the append to succeed.
	 * @return the offset, or -1 if the topic must be read first
	 */
	public long expectedEndOffset() {
		return this.topicEnd;
	}

	/**
	 * Processes a successful append; does nothing if it is no longer pending.
	 * @param record the record
	 * @param offset its offset in the topic
	 * @param now the current time
	 */
	public void appendSucceeded(LeaseRecord record, long offset, long now) {
		if (!isPending(record)) {
			return;
		}
		this.pendingRecord = null;
		advanceTopicEnd(offset + 1);
		apply(record, now);
		this.heldUntil = this.pendingSince + (long) (this.leaseNanos * HOLDING_FRACTION);
	}

	// Compares identities since two renewals may be equal.
	@SuppressWarnings("ReferenceEquality")
	private boolean isPending(LeaseRecord record) {
		return record == this.pendingRecord;
	}

	/**
	 * Processes an append that failed or whose outcome is unknown; does nothing if it is
	 * no longer pending.
	 * @param record the record
	 */
	public void appendFailed(LeaseRecord record) {
		if (!isPending(record)) {
			return;
		}
		this.pendingRecord = null;
		// Requires another read of the topic before the next attempt.
		this.topicEnd = -1;
	}

}
