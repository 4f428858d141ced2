package org.banyancove.core.handover;

import java.time.Instant;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.Invariant;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.Progress;
import org.jspecify.annotations.Nullable;

/**
 * A copy of a request that this process holds for the owner.
 */
final class HeldCopy {

	final HeldRequest held;

	final AnswerBuffer answer = new AnswerBuffer(0);

	Instant expiry;

	private Incarnation owner;

	private long ownership;

	private @Nullable EndpointId endpoint;

	private boolean ended;

	HeldCopy(HeldRequest held, Incarnation owner, long ownership, Instant expiry) {
		this.held = held;
		this.owner = owner;
		this.ownership = ownership;
		this.expiry = expiry;
	}

	Incarnation owner() {
		return this.owner;
	}

	long ownership() {
		return this.ownership;
	}

	void changeOwner(Incarnation newOwner, long newOwnership) {
		Invariant.check(newOwnership >= this.ownership, "ownership of %s decreases from %s to %s", this.held.request(),
				this.ownership, newOwnership);
		this.owner = newOwner;
		this.ownership = newOwnership;
	}

	void update(Progress progress) {
		this.endpoint = progress.endpoint();
		this.answer.appendCopy(progress.attempt(), progress.pieces());
	}

	void end(long totalOffset, EndOfAnswer how) {
		this.ended = true;
		this.answer.end(this.answer.attempt(), totalOffset, how);
	}

	boolean hasEnded() {
		return this.ended;
	}

	long characters() {
		return this.held.body().length() + this.answer.characters();
	}

	Progress progress() {
		return new Progress(this.endpoint, this.answer.attempt(), 0, this.answer.readFrom(0));
	}

}
