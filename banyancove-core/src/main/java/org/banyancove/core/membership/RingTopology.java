package org.banyancove.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.peer.PeerState;

/**
 * The topology of heartbeats. The processes of a data center form a ring; each sends to
 * the processes at a few distances that grow by the same factor. A notice that each
 * process forwards once thus reaches all in few steps with a bounded fan-out.
 */
final class RingTopology {

	private RingTopology() {
	}

	static List<PeerState> targets(List<PeerState> ring, Incarnation self, int fanOut) {
		return atDistances(ring, self, fanOut, 1);
	}

	static List<PeerState> sources(List<PeerState> ring, Incarnation self, int fanOut) {
		return atDistances(ring, self, fanOut, -1);
	}

	static List<PeerState> relays(List<PeerState> living, DataCenterName other, int relays) {
		List<PeerState> ranked = Rendezvous.rank(other.value(), living, (peer) -> peer.incarnation().toString());
		return ranked.subList(0, Math.min(relays, ranked.size()));
	}

	static List<Integer> distances(int peerCount, int fanOut) {
		List<Integer> distances = new ArrayList<>();
		int previous = 0;
		for (int step = 0; step < fanOut && previous < peerCount; step++) {
			int target = (int) Math.round(Math.pow(peerCount, (double) step / fanOut));
			previous = Math.min(peerCount, Math.max(previous + 1, target));
			distances.add(previous);
		}
		return distances;
	}

	private static List<PeerState> atDistances(List<PeerState> ring, Incarnation self, int fanOut, int direction) {
		int position = 0;
		while (position < ring.size() && !ring.get(position).incarnation().equals(self)) {
			position++;
		}
		if (position == ring.size()) {
			return List.of();
		}
		List<PeerState> found = new ArrayList<>();
		for (int distance : distances(ring.size() - 1, fanOut)) {
			found.add(ring.get(Math.floorMod(position + direction * distance, ring.size())));
		}
		return found;
	}

}
