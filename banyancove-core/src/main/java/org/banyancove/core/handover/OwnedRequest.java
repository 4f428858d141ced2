package org.banyancove.core.handover;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

import org.banyancove.core.Incarnation;
import org.banyancove.core.Invariant;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.peer.HeldRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request that this process owns.
 */
final class OwnedRequest {

	final HeldRequest held;

	final Set<Incarnation> triedPeers = new HashSet<>();

	/**
	 * The peers that were requested to hold the request and not told to drop it since.
	 */
	final Set<Incarnation> requestedHolders = new HashSet<>();

	boolean accepted;

	boolean holderAcknowledged;

	int unacknowledged;

	long holderOffset;

	long totalOffset;

	@Nullable Incarnation holder;

	@Nullable Incarnation receiver;

	long offeredOwnership;

	@Nullable EndOfAnswer end;

	private long ownership;

	private Instant due = Instant.MAX;

	OwnedRequest(HeldRequest held, long ownership) {
		this.held = held;
		this.ownership = ownership;
		this.offeredOwnership = ownership;
	}

	long ownership() {
		return this.ownership;
	}

	void raiseOwnership(long newOwnership) {
		Invariant.check(newOwnership > this.ownership, "ownership of %s decreases from %s to %s", this.held.request(),
				this.ownership, newOwnership);
		this.ownership = newOwnership;
		this.offeredOwnership = newOwnership;
	}

	Instant due() {
		return this.due;
	}

	void dueAt(Instant newDue) {
		this.due = newDue;
	}

	/**
	 * Returns whether a peer that acknowledges holding the request becomes its holder:
	 * there is no acknowledged holder, the request is neither being handed over nor
	 * ended, and the peer has not been told to drop it.
	 * @param peer the peer
	 * @return {@code true} if the peer becomes the holder
	 */
	boolean acceptsHolder(Incarnation peer) {
		return !this.holderAcknowledged && this.receiver == null && this.end == null
				&& this.requestedHolders.contains(peer);
	}

	/**
	 * Clears the holder, so that another one can be selected.
	 */
	void dropHolder() {
		this.holder = null;
		this.holderAcknowledged = false;
		this.holderOffset = 0;
		this.unacknowledged = 0;
		this.triedPeers.clear();
	}

}
