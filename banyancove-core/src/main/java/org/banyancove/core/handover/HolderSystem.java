package org.banyancove.core.handover;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;

import org.banyancove.core.RequestId;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;

/**
 * Manages the copies of requests held for other processes.
 */
final class HolderSystem {

	private final HoldTable table;

	private final HoldMessages messages;

	private final InstantSource clock;

	private final HandoverSettings settings;

	private final Deque<RequestId> endedCopies = new ArrayDeque<>();

	HolderSystem(HoldTable table, HoldMessages messages, InstantSource clock, HandoverSettings settings) {
		this.table = table;
		this.messages = messages;
		this.clock = clock;
		this.settings = settings;
	}

	void receive(PeerMessage.HoldRequest message, boolean stopping) {
		RequestId id = message.held().request();
		HeldCopy copy = this.table.held(id);
		if (copy != null) {
			this.table.changeOwner(copy, message.from(), message.ownership());
		}
		else if (stopping || isFull()) {
			this.messages.acknowledge(message.from(), id, message.ownership(), 0, false);
			return;
		}
		else {
			copy = new HeldCopy(message.held(), message.from(), message.ownership(), expiryOf(message.held()));
			this.table.hold(copy);
		}
		this.messages.acknowledge(message.from(), id, message.ownership(), copy.answer.nextOffset(), true);
	}

	void receive(PeerMessage.HoldProgress message) {
		HeldCopy copy = this.table.held(message.request());
		if (copy == null || copy.ownership() != message.ownership()) {
			this.messages.acknowledge(message.from(), message.request(), message.ownership(), 0, false);
			return;
		}
		this.table.update(copy, () -> copy.update(message.progress()));
		this.messages.acknowledge(message.from(), message.request(), message.ownership(), copy.answer.nextOffset(),
				true);
	}

	void receive(PeerMessage.HoldReleased message) {
		HeldCopy copy = this.table.held(message.request());
		if (copy != null && !copy.hasEnded()) {
			this.table.update(copy, () -> copy.end(message.totalOffset(), message.end()));
			copy.expiry = this.clock.instant().plus(this.settings.keepEnded());
			this.endedCopies.add(message.request());
		}
		this.messages.acknowledge(message.from(), message.request(), message.ownership(), message.totalOffset(), false);
	}

	void receive(PeerMessage.HoldDropped message) {
		HeldCopy copy = this.table.held(message.request());
		if (copy != null && copy.owner().equals(message.from()) && copy.ownership() == message.ownership()) {
			this.table.release(message.request());
		}
	}

	// Removes and returns the copy of a request that is handed over to this process.
	HeldCopy removeCopy(PeerMessage.HandOver message) {
		HeldCopy copy = this.table.held(message.held().request());
		if (copy != null) {
			this.table.release(message.held().request());
			return copy;
		}
		return new HeldCopy(message.held(), message.from(), message.ownership(), expiryOf(message.held()));
	}

	void removeExpired(Instant now) {
		for (HeldCopy copy : this.table.held()) {
			if (copy.expiry.isBefore(now)) {
				this.table.release(copy.held.request());
				this.endedCopies.remove(copy.held.request());
			}
		}
	}

	private Instant expiryOf(HeldRequest held) {
		return held.deadline().plus(this.settings.keepEnded());
	}

	// Ended answers are only kept for callers that reconnect, so they are evicted first.
	private boolean isFull() {
		while (isAtLimit() && !this.endedCopies.isEmpty()) {
			HeldCopy copy = this.table.held(this.endedCopies.poll());
			if (copy != null && copy.hasEnded()) {
				this.table.release(copy.held.request());
			}
		}
		return isAtLimit();
	}

	private boolean isAtLimit() {
		return this.table.heldCount() >= this.settings.maximumHeld()
				|| this.table.heldCharacters() >= this.settings.maximumHeldCharacters();
	}

}
