package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;

import org.banyancove.core.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * The full state of a key according to the log.
 *
 * @param key the key
 * @param digest the body digest of the winning intent
 * @param claimant the only process that may run the call
 * @param intentOffset the offset of the winning intent
 * @param claimOffset the offset of the record that made {@code claimant} the claimant:
 * the intent or the last accepted handover
 * @param intentAt the log time of the intent
 * @param window how long after {@code intentAt} the key is retained
 * @param endedAt the log time of the claimant's outcome record, or {@code null} if the
 * call has not ended
 * @param answer the answer of an ended call, or {@code null} if it is unknown
 */
public record KeyState(CallKey key, BodyDigest digest, Incarnation claimant, long intentOffset, long claimOffset,
		Instant intentAt, Duration window, @Nullable Instant endedAt,
		@Nullable StoredAnswer answer) implements KeyStatus {

	@Override
	public boolean ended() {
		return this.endedAt != null;
	}

	@Override
	public boolean matches(BodyDigest other) {
		return this.digest.equals(other);
	}

	// Whether the answer is no longer kept. This does not affect which process may run
	// the call, since no later record changes an ended call.
	boolean isAnswerExpired(Instant logTime, Duration answerWindow) {
		return this.endedAt != null && Duration.between(this.endedAt, logTime).compareTo(answerWindow) >= 0;
	}

	@Override
	public boolean expired(Instant logTime) {
		return !logTime.isBefore(this.intentAt.plus(this.window));
	}

	KeyState endedWith(@Nullable StoredAnswer result, Instant at) {
		return new KeyState(this.key, this.digest, this.claimant, this.intentOffset, this.claimOffset, this.intentAt,
				this.window, at, result);
	}

	KeyState handedOverTo(Incarnation receiver, long offset) {
		return new KeyState(this.key, this.digest, receiver, this.intentOffset, offset, this.intentAt, this.window,
				null, null);
	}

}
