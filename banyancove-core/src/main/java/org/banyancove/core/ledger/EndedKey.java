package org.banyancove.core.ledger;

import java.time.Instant;

/**
 * The compact form of an ended call after its answer has expired, kept for the rest of
 * the key window: enough to prevent another run, to detect a different body and to report
 * the outcome.
 *
 * @param key the digest of the key
 * @param body the first 64 bits of the SHA-256 of the body's digest
 * @param expiresAt the end of the key window, exactly as in the full state: with a
 * rounded time, readers with different settings would let different intents win
 * @param status the HTTP status of the answer, or {@link #OUTCOME_UNKNOWN}
 */
public record EndedKey(KeyDigest key, long body, Instant expiresAt, int status) implements KeyStatus {

	/** The status of a call whose outcome is unknown to its claimant. */
	public static final int OUTCOME_UNKNOWN = 0;

	static EndedKey of(KeyState state) {
		StoredAnswer answer = state.answer();
		int status = (answer != null) ? answer.status() : OUTCOME_UNKNOWN;
		return new EndedKey(KeyDigest.of(state.key()), KeyDigest.truncate(state.digest()),
				state.intentAt().plus(state.window()), status);
	}

	@Override
	public boolean ended() {
		return true;
	}

	@Override
	public boolean expired(Instant logTime) {
		return !logTime.isBefore(this.expiresAt);
	}

	@Override
	public boolean matches(BodyDigest digest) {
		return this.body == KeyDigest.truncate(digest);
	}

}
