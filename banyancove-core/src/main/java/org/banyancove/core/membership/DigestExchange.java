package org.banyancove.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.peer.DataCenterDigest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;

/**
 * Anti-entropy by digests: detects that a peer's membership list differs from the own one
 * and requests the differing states.
 */
final class DigestExchange {

	private static final int STABLE_ROUNDS = 4;

	private final PeerState self;

	private final PeerTable table;

	private final PeerPort port;

	private final Map<Incarnation, DigestComparison> comparisons = new HashMap<>();

	DigestExchange(PeerState self, PeerTable table, PeerPort port) {
		this.self = self;
		this.table = table;
		this.port = port;
	}

	// Requests states when the sender's digest and the local one have differed for some
	// rounds in which neither changed. A difference right after a change only shows
	// that the change is still being disseminated.
	void compare(PeerMessage.Heartbeat heartbeat, PeerState sender) {
		long local = digestFor(sender.dataCenter());
		if (local == heartbeat.membershipDigest()) {
			this.comparisons.remove(heartbeat.from());
			return;
		}
		DigestComparison last = this.comparisons.get(heartbeat.from());
		int rounds = 1;
		if (last != null && last.local == local && last.remote == heartbeat.membershipDigest()) {
			rounds = last.rounds + 1;
		}
		if (rounds >= STABLE_ROUNDS) {
			rounds = 0;
			this.port.send(sender.address(), request());
		}
		this.comparisons.put(heartbeat.from(), new DigestComparison(local, heartbeat.membershipDigest(), rounds));
	}

	// Digests by data center limit the response to the differing states. Requesting one
	// data center at random took 4.4 KB per second from each of 806 processes, over
	// the limit of 3 KB.
	PeerMessage.MembershipRequest request() {
		return new PeerMessage.MembershipRequest(this.self.incarnation(),
				this.table.dataCenters()
					.stream()
					.map((dataCenter) -> new DataCenterDigest(dataCenter, this.table.digest(dataCenter)))
					.toList());
	}

	void answer(PeerMessage.MembershipRequest request) {
		PeerState requester = this.table.find(request.from());
		if (requester == null) {
			return;
		}
		Map<DataCenterName, Long> remoteDigests = new HashMap<>();
		request.digests().forEach((digest) -> remoteDigests.put(digest.dataCenter(), digest.digest()));
		List<PeerState> differing = this.table.entities()
			.stream()
			.map(PeerEntity::state)
			.filter((state) -> !Objects.equals(remoteDigests.get(state.dataCenter()),
					this.table.digest(state.dataCenter())))
			.toList();
		if (!differing.isEmpty()) {
			this.port.send(requester.address(), new PeerMessage.MembershipState(this.self.incarnation(), differing));
		}
	}

	void remove(Collection<Incarnation> peers) {
		peers.forEach(this.comparisons::remove);
	}

	private long digestFor(DataCenterName dataCenter) {
		if (dataCenter.equals(this.self.dataCenter())) {
			return this.table.digest();
		}
		return this.table.digest(dataCenter);
	}

	private record DigestComparison(long local, long remote, int rounds) {

	}

}
