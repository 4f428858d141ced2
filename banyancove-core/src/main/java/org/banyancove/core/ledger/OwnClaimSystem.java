package org.banyancove.core.ledger;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

import org.banyancove.core.Incarnation;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.ledger.DispatchTable.Dispatch;
import org.banyancove.core.ledger.KeyWork.ClaimStage;
import org.banyancove.core.ledger.KeyWork.OwnClaim;
import org.banyancove.core.ledger.KeyWork.PendingIntent;
import org.jspecify.annotations.Nullable;

/**
 * Manages the claims that the log grants to this process. Dispatches each claim at most
 * once and appends its outcome, or its release or handover if it was not dispatched.
 */
final class OwnClaimSystem {

	private final RecordSequence records;

	private final InstantSource clock;

	private final ClaimSettings settings;

	private final SlotTable slots;

	private final PendingKeyTable pendingKeys;

	private final DispatchTable dispatches;

	private final AppendQueue appends;

	private final ClaimTimers timers;

	private final ClaimAnswerSystem answers;

	private final ShutdownState shutdown;

	private final ClaimPort port;

	OwnClaimSystem(RecordSequence records, InstantSource clock, ClaimSettings settings, SlotTable slots,
			PendingKeyTable pendingKeys, DispatchTable dispatches, AppendQueue appends, ClaimTimers timers,
			ClaimAnswerSystem answers, ShutdownState shutdown, ClaimPort port) {
		this.records = records;
		this.clock = clock;
		this.settings = settings;
		this.slots = slots;
		this.pendingKeys = pendingKeys;
		this.dispatches = dispatches;
		this.appends = appends;
		this.timers = timers;
		this.answers = answers;
		this.shutdown = shutdown;
		this.port = port;
	}

	// Registers a claim of this process that was read from the log, unless it is already
	// known.
	OwnClaim register(KeyWork pendingKey, KeyState state) {
		OwnClaim known = pendingKey.claim();
		if (known != null && known.claimOffset() == state.claimOffset()) {
			return known;
		}
		PendingIntent pendingIntent = pendingKey.pendingIntent();
		boolean requested = pendingIntent != null && pendingIntent.readOffset() == state.claimOffset();
		boolean handedOver = pendingKey.handoverOffset() == state.claimOffset();
		Instant now = this.clock.instant();
		Instant heldUntil = handedOver ? now.plus(this.settings.appendTimeout()) : now;
		OwnClaim claim = new OwnClaim(state.claimOffset(), state.digest(), heldUntil);
		pendingKey.claim(claim);
		if (handedOver) {
			this.timers.add(heldUntil, new ClaimTimers.Reevaluation(pendingKey.key()));
		}
		if (!requested && !handedOver) {
			release(pendingKey, claim);
		}
		return claim;
	}

	void advance(KeyWork pendingKey, KeyState state, OwnClaim claim) {
		if (claim.stage() != ClaimStage.HELD) {
			return;
		}
		Instant now = this.clock.instant();
		Optional<ClaimRequest> request = pendingKey.firstDispatchable(state.digest(), now);
		Incarnation receiver = this.shutdown.receiver();
		if (receiver != null) {
			handOver(pendingKey, claim, receiver);
		}
		else if (request.isPresent() && !this.shutdown.stopping()) {
			dispatch(pendingKey, state, claim, request.get());
		}
		else if (this.shutdown.stopping() || !now.isBefore(claim.heldUntil())) {
			release(pendingKey, claim);
		}
	}

	void ended(RequestId request, Dispatch dispatch, DispatchResult result) {
		KeyWork pendingKey = dispatch.pendingKey();
		OwnClaim claim = dispatch.claim();
		Invariant.check(claim.stage() == ClaimStage.DISPATCHED, "dispatch of %s ended, its claim is %s",
				pendingKey.key(), claim.stage());
		switch (result) {
			case DispatchResult.Completed completed -> complete(pendingKey, claim, request, completed.answer());
			case DispatchResult.OutcomeUnknown _ -> completeUnknown(pendingKey, claim);
			case DispatchResult.NeverSent _ -> releaseUnsent(pendingKey, claim, request);
		}
	}

	// Repeats must not wait for the log: during an outage only the claimant knows the
	// answer.
	void answerEnded(KeyWork pendingKey) {
		OwnClaim claim = pendingKey.claim();
		if (claim != null && claim.stage() == ClaimStage.ENDED) {
			this.answers.refuseMismatchedBodies(pendingKey, (digest) -> digest.equals(claim.digest()));
			this.answers.answerWaiting(pendingKey, claim.answer());
		}
	}

	private void dispatch(KeyWork pendingKey, KeyState state, OwnClaim claim, ClaimRequest request) {
		KeyTable table = this.slots.table(pendingKey.slot());
		Invariant.check(table.complete() && table.nextOffset() > claim.claimOffset(),
				"%s is read up to %s only, but its claim is at %s", pendingKey.key(), table.nextOffset(),
				claim.claimOffset());
		Invariant.check(state.claimant().equals(this.records.author()) && state.claimOffset() == claim.claimOffset(),
				"%s is claimed by %s at %s", pendingKey.key(), state.claimant(), state.claimOffset());
		Invariant.check(claim.stage() == ClaimStage.HELD, "the claim on %s is %s", pendingKey.key(), claim.stage());
		Invariant.check(request.digest().equals(state.digest()), "%s is claimed for another body", pendingKey.key());
		claim.stage(ClaimStage.DISPATCHED);
		this.dispatches.add(request.request(), new Dispatch(pendingKey, claim));
		this.port.dispatch(request.request(), pendingKey.key(), state.intentOffset());
	}

	private void release(KeyWork pendingKey, OwnClaim claim) {
		Invariant.check(!claim.mayHaveRun(), "the claim on %s is %s", pendingKey.key(), claim.stage());
		claim.stage(ClaimStage.RELEASED);
		this.appends.add(pendingKey.slot(), new LedgerRecord.Released(this.records.next(), this.records.author(),
				pendingKey.key(), claim.claimOffset()));
	}

	private void handOver(KeyWork pendingKey, OwnClaim claim, Incarnation receiver) {
		Invariant.check(!claim.mayHaveRun(), "the claim on %s is %s", pendingKey.key(), claim.stage());
		claim.stage(ClaimStage.HANDED_OVER);
		this.appends.add(pendingKey.slot(), new LedgerRecord.HandedOver(this.records.next(), this.records.author(),
				pendingKey.key(), claim.claimOffset(), receiver));
	}

	private void complete(KeyWork pendingKey, OwnClaim claim, RequestId request, StoredAnswer answer) {
		claim.end(answer);
		if (this.pendingKeys.isWaiting(request)) {
			this.answers.answer(request, new ClaimAnswer.FirstRun(answer));
		}
		appendOutcome(pendingKey, claim, answer.limitedTo(this.settings.storedBodyBytes()));
	}

	private void completeUnknown(KeyWork pendingKey, OwnClaim claim) {
		claim.end(null);
		appendOutcome(pendingKey, claim, null);
	}

	private void appendOutcome(KeyWork pendingKey, OwnClaim claim, @Nullable StoredAnswer answer) {
		this.appends.add(pendingKey.slot(), new LedgerRecord.Outcome(this.records.next(), this.records.author(),
				pendingKey.key(), claim.claimOffset(), answer));
	}

	private void releaseUnsent(KeyWork pendingKey, OwnClaim claim, RequestId request) {
		claim.stage(ClaimStage.HELD);
		release(pendingKey, claim);
		if (this.pendingKeys.isWaiting(request)) {
			this.answers.refuse(request, ErrorKind.NO_ENDPOINT);
		}
	}

}
