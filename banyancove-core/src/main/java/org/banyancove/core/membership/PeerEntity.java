package org.banyancove.core.membership;

import java.time.Instant;

import org.banyancove.core.peer.PeerState;
import org.jspecify.annotations.Nullable;

/**
 * The state of one peer with its times of contact and monitoring.
 */
final class PeerEntity {

	private PeerState state;

	private Instant changedAt;

	private @Nullable Instant lastContactAt;

	private @Nullable Instant monitoredSince;

	PeerEntity(PeerState state, Instant now) {
		this.state = state;
		this.changedAt = now;
	}

	PeerState state() {
		return this.state;
	}

	void changeTo(PeerState newState, Instant now) {
		this.state = newState;
		this.changedAt = now;
	}

	Instant changedAt() {
		return this.changedAt;
	}

	void recordContact(Instant now) {
		this.lastContactAt = now;
	}

	void startMonitoring(Instant now) {
		if (this.monitoredSince == null) {
			this.monitoredSince = now;
		}
	}

	void stopMonitoring() {
		this.monitoredSince = null;
	}

	/**
	 * Returns the time since which a monitored peer has been silent. The time counts from
	 * the start of monitoring at the earliest, since a new neighbor would otherwise be
	 * suspected for heartbeats that it was not expected to send.
	 * @return the time, or {@code null} if the peer is not monitored
	 */
	@Nullable Instant silentSince() {
		Instant since = this.monitoredSince;
		Instant lastContact = this.lastContactAt;
		if (since == null || lastContact == null || lastContact.isBefore(since)) {
			return since;
		}
		return lastContact;
	}

}
