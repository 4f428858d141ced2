package org.banyancove.core.ledger;

import java.time.Instant;
import java.time.InstantSource;

import org.banyancove.core.Incarnation;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.ledger.KeyWork.OwnClaim;

/**
 * Determines the next step for a key from its status on the log: its waiting requests are
 * answered, keep waiting, or claim the key.
 */
final class KeyResolutionSystem {

	private final Incarnation self;

	private final InstantSource clock;

	private final ClaimSettings settings;

	private final SlotTable slots;

	private final PendingKeyTable pendingKeys;

	private final ClaimTimers timers;

	private final ClaimAnswerSystem answers;

	private final IntentSystem intents;

	private final OwnClaimSystem claims;

	KeyResolutionSystem(Incarnation self, InstantSource clock, ClaimSettings settings, SlotTable slots,
			PendingKeyTable pendingKeys, ClaimTimers timers, ClaimAnswerSystem answers, IntentSystem intents,
			OwnClaimSystem claims) {
		this.self = self;
		this.clock = clock;
		this.settings = settings;
		this.slots = slots;
		this.pendingKeys = pendingKeys;
		this.timers = timers;
		this.answers = answers;
		this.intents = intents;
		this.claims = claims;
	}

	void evaluate(CallKey key) {
		evaluate(this.pendingKeys.getOrCreate(key));
	}

	void evaluate(KeyWork pendingKey) {
		KeyTable table = this.slots.table(pendingKey.slot());
		if (table.complete()) {
			table.find(pendingKey.key())
				.ifPresentOrElse((status) -> resolve(pendingKey, status),
						() -> this.intents.claimIfRequested(pendingKey));
		}
		this.claims.answerEnded(pendingKey);
		this.pendingKeys.discardIfIdle(pendingKey);
	}

	void reevaluate(CallKey key) {
		KeyWork pendingKey = this.pendingKeys.find(key);
		if (pendingKey != null) {
			evaluate(pendingKey);
		}
	}

	private void resolve(KeyWork pendingKey, KeyStatus status) {
		this.answers.refuseMismatchedBodies(pendingKey, status::matches);
		switch (status) {
			case KeyState state -> resolve(pendingKey, state);
			case EndedKey ended -> resolveEnded(pendingKey, ended);
		}
	}

	// The claimant of an ended key is no longer known, so it is treated as another
	// process to rule out a false "not run".
	private void resolveEnded(KeyWork pendingKey, EndedKey ended) {
		pendingKey.claimedElsewhere(true);
		this.intents.clearIfRead(pendingKey);
		pendingKey.claim(null);
		boolean outcomeKnown = ended.status() != EndedKey.OUTCOME_UNKNOWN;
		this.answers.answerWaiting(pendingKey, outcomeKnown ? StoredAnswer.withoutBody(ended.status()) : null);
	}

	private void resolve(KeyWork pendingKey, KeyState state) {
		boolean own = state.claimant().equals(this.self);
		pendingKey.claimedElsewhere(!own);
		if (own && !state.ended()) {
			resolveOwn(pendingKey, state);
			return;
		}
		this.intents.clearIfRead(pendingKey);
		if (state.ended()) {
			pendingKey.claim(null);
			this.answers.answerWaiting(pendingKey, state.answer());
		}
		else {
			pendingKey.claim(null);
			awaitOutcome(pendingKey, state);
		}
	}

	private void resolveOwn(KeyWork pendingKey, KeyState state) {
		OwnClaim claim = this.claims.register(pendingKey, state);
		this.intents.clearIfRead(pendingKey);
		this.claims.advance(pendingKey, state, claim);
	}

	private void awaitOutcome(KeyWork pendingKey, KeyState state) {
		if (pendingKey.waiting().isEmpty()) {
			return;
		}
		Instant outcomeDeadline = state.intentAt().plus(this.settings.outcomeWait());
		if (this.clock.instant().isBefore(outcomeDeadline)) {
			this.timers.add(outcomeDeadline, new ClaimTimers.Reevaluation(pendingKey.key()));
		}
		else {
			this.answers.refuseWaiting(pendingKey, ErrorKind.OUTCOME_UNKNOWN);
		}
	}

}
