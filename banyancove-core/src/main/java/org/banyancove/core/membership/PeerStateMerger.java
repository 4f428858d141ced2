package org.banyancove.core.membership;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.Invariant;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;

/**
 * Merges received peer states into the {@link PeerTable} and maintains this process's own
 * state. It is the only writer of the table's states.
 */
final class PeerStateMerger {

	private final PeerTable table;

	private final InstantSource clock;

	private final MembershipSettings settings;

	private final MembershipListener listener;

	private final GossipQueue gossip;

	private final JoinDeadline joinDeadline;

	private PeerState self;

	private boolean disseminates = true;

	PeerStateMerger(PeerState self, PeerTable table, InstantSource clock, MembershipSettings settings,
			MembershipListener listener, JoinDeadline joinDeadline) {
		this.self = self;
		this.table = table;
		this.clock = clock;
		this.settings = settings;
		this.listener = listener;
		this.joinDeadline = joinDeadline;
		this.gossip = new GossipQueue(settings.transmissions());
		store(self);
	}

	PeerState self() {
		return this.self;
	}

	// A long list is the response to a request. Its states are not disseminated, since
	// other processes request them themselves: with 806 processes started at once,
	// dissemination took 1.7 KB per second from each for ten minutes.
	void mergeAll(PeerMessage.MembershipState message) {
		this.disseminates = message.states().size() <= this.settings.statesPerHeartbeat();
		message.states().forEach(this::merge);
		this.disseminates = true;
	}

	void merge(PeerState state) {
		if (state.incarnation().equals(this.self.incarnation())) {
			refute(state);
			return;
		}
		PeerState known = this.table.find(state.incarnation());
		if (known == null) {
			add(state);
			return;
		}
		if (!state.overrules(known)) {
			return;
		}
		Invariant.check(state.refutation() >= known.refutation(), "refutation number of %s decreased from %s to %s",
				state.incarnation(), known.refutation(), state.refutation());
		store(state);
		if (state.status() == PeerStatus.DEAD) {
			this.listener.died(state);
		}
		else if (!known.isLiving()) {
			this.listener.joined(state);
		}
		else if (state.status() == PeerStatus.LEAVING && known.status() != PeerStatus.LEAVING) {
			this.listener.leaving(state);
		}
	}

	// Increments the refutation number, which overrules all earlier states of this
	// process.
	void updateSelf(PeerStatus status) {
		updateSelf(this.self.withRefutation(this.self.refutation() + 1, status));
	}

	/**
	 * Removes and returns the states to send with one round of heartbeats.
	 * @return the states, this process's own first
	 */
	List<PeerState> nextUpdates() {
		List<PeerState> states = new ArrayList<>();
		states.add(this.self);
		for (PeerState state : this.gossip.poll(this.settings.statesPerHeartbeat())) {
			if (!state.incarnation().equals(this.self.incarnation())) {
				states.add(state);
			}
		}
		return states;
	}

	private void add(PeerState state) {
		// A dead process that is not in the table is ignored, since its state would
		// otherwise be disseminated without end.
		if (!state.isLiving() || this.table.size() >= this.settings.maximumPeers()) {
			return;
		}
		store(state);
		this.listener.joined(state);
		if (state.status() == PeerStatus.LEAVING) {
			this.listener.leaving(state);
		}
	}

	private void store(PeerState state) {
		this.table.put(state, this.clock.instant());
		this.joinDeadline.refresh();
		if (this.disseminates) {
			this.gossip.add(state);
		}
	}

	private void refute(PeerState state) {
		boolean terminated = this.self.status() == PeerStatus.DEAD;
		if (!terminated && state.status().compareTo(PeerStatus.SUSPECTED) >= 0
				&& state.refutation() >= this.self.refutation()) {
			updateSelf(this.self.withRefutation(state.refutation() + 1, this.self.status()));
		}
	}

	private void updateSelf(PeerState state) {
		Invariant.check(state.refutation() > this.self.refutation(), "own refutation number decreased from %s to %s",
				this.self.refutation(), state.refutation());
		this.self = state;
		store(state);
	}

}
