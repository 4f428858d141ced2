package org.banyancove.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;

/**
 * Detects failed peers: probes monitored neighbors that are silent, suspects those that
 * stay silent, and declares those dead whose suspicion is not refuted.
 */
final class FailureDetector {

	private final PeerStateMerger peerStates;

	private final PeerTable table;

	private final MembershipSettings settings;

	private final Neighborhood neighborhood;

	private final PeerPort port;

	FailureDetector(PeerStateMerger peerStates, PeerTable table, MembershipSettings settings, Neighborhood neighborhood,
			PeerPort port) {
		this.peerStates = peerStates;
		this.table = table;
		this.settings = settings;
		this.neighborhood = neighborhood;
		this.port = port;
	}

	void suspectSilentPeers(Instant now) {
		Instant limit = now.minus(this.settings.suspicionTimeout());
		for (Incarnation each : List.copyOf(this.neighborhood.monitored())) {
			PeerEntity peer = this.table.entity(each);
			if (peer == null || peer.state().status().compareTo(PeerStatus.SUSPECTED) >= 0) {
				continue;
			}
			Instant silentSince = peer.silentSince();
			if (silentSince != null && silentSince.isBefore(limit)) {
				suspect(peer.state());
			}
		}
	}

	// When all processes of a data center fail at once, none of them can report it, and
	// its requests would wait at their holders indefinitely. The silence of its relays
	// is the only symptom. A network partition looks the same: the requests then run
	// twice, which the ownership numbers make harmless, and the processes rejoin after
	// the partition.
	void suspectSilentDataCenters(Instant now) {
		Instant limit = now.minus(this.settings.suspicionTimeout().multipliedBy(2));
		List<PeerState> suspected = new ArrayList<>();
		for (DataCenterName dataCenter : this.neighborhood.relayedDataCenters()) {
			if (this.neighborhood.lastContactAt(dataCenter, now).isBefore(limit)) {
				this.table.living(dataCenter)
					.stream()
					.filter((peer) -> peer.status() != PeerStatus.SUSPECTED)
					.map((peer) -> peer.withStatus(PeerStatus.SUSPECTED))
					.forEach(suspected::add);
			}
		}
		if (!suspected.isEmpty()) {
			suspected.forEach(this.peerStates::merge);
			this.neighborhood.send(new PeerMessage.MembershipState(this.peerStates.self().incarnation(), suspected));
		}
	}

	// While the membership lists of two processes differ, one may expect heartbeats that
	// the other does not send. Without probes this causes many false suspicions when
	// many processes start at once. A probe is answered regardless of the receiver's
	// membership list.
	void probeSilentPeers(Instant now) {
		Instant limit = now.minus(this.settings.suspicionTimeout().dividedBy(2));
		for (Incarnation each : this.neighborhood.monitored()) {
			PeerEntity peer = this.table.entity(each);
			Instant silentSince = (peer != null) ? peer.silentSince() : null;
			if (peer != null && silentSince != null && silentSince.isBefore(limit)) {
				this.port.send(peer.state().address(), new PeerMessage.Probe(this.peerStates.self().incarnation(),
						this.peerStates.self().address(), false));
			}
		}
	}

	void declareSuspectedDead(Instant now) {
		Instant limit = now.minus(this.settings.deathTimeout());
		List<PeerState> dead = new ArrayList<>();
		for (PeerEntity peer : this.table.entities()) {
			if (peer.state().status() == PeerStatus.SUSPECTED && peer.changedAt().isBefore(limit)) {
				dead.add(peer.state().withStatus(PeerStatus.DEAD));
			}
		}
		dead.forEach(this.peerStates::merge);
	}

	void receive(PeerMessage.Probe probe) {
		if (!probe.answer()) {
			this.port.send(probe.address(), new PeerMessage.Probe(this.peerStates.self().incarnation(),
					this.peerStates.self().address(), true));
		}
	}

	private void suspect(PeerState peer) {
		PeerState suspected = peer.withStatus(PeerStatus.SUSPECTED);
		this.peerStates.merge(suspected);
		PeerMessage message = new PeerMessage.MembershipState(this.peerStates.self().incarnation(), List.of(suspected));
		this.neighborhood.send(message);
		this.port.send(peer.address(), message);
	}

}
