package org.banyancove.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.Incarnation;
import org.banyancove.core.peer.PeerState;

/**
 * The peer states to disseminate with heartbeats, each a bounded number of times.
 */
final class GossipQueue {

	private final int transmissions;

	private final Map<Incarnation, PendingUpdate> queue = new LinkedHashMap<>();

	GossipQueue(int transmissions) {
		this.transmissions = transmissions;
	}

	void add(PeerState state) {
		this.queue.remove(state.incarnation());
		this.queue.put(state.incarnation(), new PendingUpdate(state, this.transmissions));
	}

	/**
	 * Removes and returns the states for one round of heartbeats, in the order of the
	 * queue. A state with transmissions remaining moves to the end of the queue.
	 * @param limit the maximum number of states
	 * @return the states
	 */
	List<PeerState> poll(int limit) {
		List<PeerState> polled = new ArrayList<>();
		List<PendingUpdate> requeued = new ArrayList<>();
		Iterator<PendingUpdate> iterator = this.queue.values().iterator();
		while (iterator.hasNext() && polled.size() < limit) {
			PendingUpdate update = iterator.next();
			iterator.remove();
			polled.add(update.state);
			if (update.remainingTransmissions > 1) {
				requeued.add(new PendingUpdate(update.state, update.remainingTransmissions - 1));
			}
		}
		requeued.forEach((update) -> this.queue.put(update.state.incarnation(), update));
		return polled;
	}

	private record PendingUpdate(PeerState state, int remainingTransmissions) {

	}

}
