package org.banyancove.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.SequencedMap;

import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The local state of a key that this process is processing: the waiting requests, the
 * pending intent and the claim of this process.
 */
final class KeyWork {

	private final CallKey key;

	private final KeySlot slot;

	private final LinkedHashMap<RequestId, ClaimRequest> waiting = new LinkedHashMap<>();

	private @Nullable PendingIntent pendingIntent;

	private @Nullable OwnClaim claim;

	private long handoverOffset = -1;

	private boolean claimedElsewhere;

	KeyWork(CallKey key, KeySlot slot) {
		this.key = key;
		this.slot = slot;
	}

	CallKey key() {
		return this.key;
	}

	KeySlot slot() {
		return this.slot;
	}

	SequencedMap<RequestId, ClaimRequest> waiting() {
		return this.waiting;
	}

	List<ClaimRequest> waitingSnapshot() {
		return new ArrayList<>(this.waiting.values());
	}

	Optional<ClaimRequest> firstDispatchable(BodyDigest digest, Instant now) {
		return this.waiting.values()
			.stream()
			.filter((request) -> request.digest().equals(digest) && now.isBefore(request.deadline()))
			.findFirst();
	}

	@Nullable PendingIntent pendingIntent() {
		return this.pendingIntent;
	}

	void pendingIntent(@Nullable PendingIntent value) {
		this.pendingIntent = value;
	}

	@Nullable OwnClaim claim() {
		return this.claim;
	}

	void claim(@Nullable OwnClaim value) {
		this.claim = value;
	}

	long handoverOffset() {
		return this.handoverOffset;
	}

	void handoverOffset(long value) {
		this.handoverOffset = value;
	}

	// Whether another process was the claimant when the key was last evaluated in a
	// complete view.
	boolean claimedElsewhere() {
		return this.claimedElsewhere;
	}

	void claimedElsewhere(boolean value) {
		this.claimedElsewhere = value;
	}

	// Whether the call may be running or may have run to the knowledge of this process,
	// so that "not run" must not be reported.
	boolean mayHaveRun() {
		return this.claimedElsewhere
				|| (this.claim != null && (this.claim.mayHaveRun() || this.claim.stage() == ClaimStage.HANDED_OVER));
	}

	boolean idle() {
		return this.waiting.isEmpty() && this.pendingIntent == null && this.claim == null;
	}

	/** An intent of this process that has not been resolved yet. */
	static final class PendingIntent {

		private final RecordId intent;

		private final CallKey key;

		private boolean acknowledged;

		private long readOffset = -1;

		PendingIntent(RecordId intent, CallKey key) {
			this.intent = intent;
			this.key = key;
		}

		RecordId intent() {
			return this.intent;
		}

		CallKey key() {
			return this.key;
		}

		boolean acknowledged() {
			return this.acknowledged;
		}

		void acknowledge() {
			this.acknowledged = true;
		}

		boolean read() {
			return this.readOffset >= 0;
		}

		long readOffset() {
			return this.readOffset;
		}

		void markRead(long offset) {
			this.readOffset = offset;
		}

	}

	/** A claim of this process, as read from the log. */
	static final class OwnClaim {

		private final long claimOffset;

		private final BodyDigest digest;

		private final Instant heldUntil;

		private ClaimStage stage = ClaimStage.HELD;

		private @Nullable StoredAnswer answer;

		OwnClaim(long claimOffset, BodyDigest digest, Instant heldUntil) {
			this.claimOffset = claimOffset;
			this.digest = digest;
			this.heldUntil = heldUntil;
		}

		long claimOffset() {
			return this.claimOffset;
		}

		BodyDigest digest() {
			return this.digest;
		}

		// The time until which a claim without a request is kept.
		Instant heldUntil() {
			return this.heldUntil;
		}

		ClaimStage stage() {
			return this.stage;
		}

		void stage(ClaimStage value) {
			this.stage = value;
		}

		@Nullable StoredAnswer answer() {
			return this.answer;
		}

		void end(@Nullable StoredAnswer result) {
			this.stage = ClaimStage.ENDED;
			this.answer = result;
		}

		boolean mayHaveRun() {
			return this.stage == ClaimStage.DISPATCHED || this.stage == ClaimStage.ENDED;
		}

	}

	/** The stage of a claim of this process. */
	enum ClaimStage {

		/**
		 * The call has not been dispatched yet, or the dispatch is known not to have been
		 * sent.
		 */
		HELD,

		/** The claim was released; this process never dispatches the call under it. */
		RELEASED,

		/**
		 * The claim was handed over to another process; this process never dispatches the
		 * call under it.
		 */
		HANDED_OVER,

		/** The call was dispatched. */
		DISPATCHED,

		/** The dispatch ended. */
		ENDED

	}

}
