package org.banyancove.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.jspecify.annotations.Nullable;

/**
 * The membership list: the entry processes with their states, this one included. Used by
 * the entry's tick thread only.
 */
public final class PeerTable {

	private final Map<Incarnation, PeerEntity> peers = new LinkedHashMap<>();

	private final Map<DataCenterName, List<PeerState>> livingByDataCenter = new TreeMap<>();

	private final Map<DataCenterName, Long> digests = new HashMap<>();

	private long digest;

	private long changes;

	private boolean joining;

	/**
	 * Returns the state of a process.
	 * @param incarnation the process
	 * @return its state, or {@code null} if it is not in the table
	 */
	public @Nullable PeerState find(Incarnation incarnation) {
		PeerEntity peer = this.peers.get(incarnation);
		return (peer != null) ? peer.state() : null;
	}

	/**
	 * Returns the processes of a data center that are not declared dead.
	 * @param dataCenter the data center
	 * @return the processes, in ring order
	 */
	public List<PeerState> living(DataCenterName dataCenter) {
		return this.livingByDataCenter.getOrDefault(dataCenter, List.of());
	}

	/**
	 * Returns the data centers with at least one living process.
	 * @return the data centers
	 */
	public List<DataCenterName> dataCenters() {
		return List.copyOf(this.livingByDataCenter.keySet());
	}

	/**
	 * Returns all processes that are not declared dead.
	 * @return the processes
	 */
	public List<PeerState> living() {
		List<PeerState> all = new ArrayList<>();
		this.livingByDataCenter.values().forEach(all::addAll);
		return all;
	}

	/**
	 * Returns whether a process is in the table and not declared dead.
	 * @param incarnation the process
	 * @return whether it is living
	 */
	public boolean isLiving(Incarnation incarnation) {
		PeerState state = find(incarnation);
		return state != null && state.isLiving();
	}

	/**
	 * Returns the number of processes, dead ones included.
	 * @return the number of processes
	 */
	public int size() {
		return this.peers.size();
	}

	/**
	 * Returns the number of changes of the table.
	 * @return a number that increases with each change
	 */
	public long changes() {
		return this.changes;
	}

	/**
	 * Returns a digest of the states of all living processes.
	 * @return the digest
	 */
	public long digest() {
		return this.digest;
	}

	/**
	 * Returns a digest of the states of a data center's living processes.
	 * @param dataCenter the data center
	 * @return the digest
	 */
	public long digest(DataCenterName dataCenter) {
		return this.digests.getOrDefault(dataCenter, 0L);
	}

	/**
	 * Returns whether this process has seeds and is waiting for its first peer. Joining
	 * ends with the first peer or at the join timeout.
	 * @return whether this process is joining
	 */
	public boolean isJoining() {
		return this.joining;
	}

	Collection<PeerEntity> entities() {
		return this.peers.values();
	}

	@Nullable PeerEntity entity(Incarnation incarnation) {
		return this.peers.get(incarnation);
	}

	void put(PeerState state, Instant now) {
		PeerEntity known = this.peers.get(state.incarnation());
		if (known == null) {
			this.peers.put(state.incarnation(), new PeerEntity(state, now));
		}
		else {
			unindex(known.state());
			known.changeTo(state, now);
		}
		index(state);
		this.changes++;
	}

	void setJoining(boolean newJoining) {
		this.joining = newJoining;
	}

	void remove(Incarnation incarnation) {
		PeerEntity known = this.peers.remove(incarnation);
		if (known != null) {
			unindex(known.state());
			this.changes++;
		}
	}

	private void index(PeerState state) {
		if (!state.isLiving()) {
			return;
		}
		addDigest(state);
		List<PeerState> ring = new ArrayList<>(living(state.dataCenter()));
		long position = position(state);
		int index = 0;
		while (index < ring.size() && position(ring.get(index)) < position) {
			index++;
		}
		ring.add(index, state);
		this.livingByDataCenter.put(state.dataCenter(), List.copyOf(ring));
	}

	private void unindex(PeerState state) {
		if (!state.isLiving()) {
			return;
		}
		addDigest(state);
		List<PeerState> ring = new ArrayList<>(living(state.dataCenter()));
		ring.remove(state);
		if (ring.isEmpty()) {
			this.livingByDataCenter.remove(state.dataCenter());
		}
		else {
			this.livingByDataCenter.put(state.dataCenter(), List.copyOf(ring));
		}
	}

	private void addDigest(PeerState state) {
		// Suspicion is excluded: it is disseminated and refuted separately, and would
		// only cause transient differences of digests.
		int leaving = (state.status() == PeerStatus.LEAVING) ? 1 : 0;
		long hash = Rendezvous.mix(position(state) + leaving);
		this.digest ^= hash;
		this.digests.merge(state.dataCenter(), hash, (first, second) -> first ^ second);
	}

	private static long position(PeerState state) {
		return Rendezvous.mix(Rendezvous.hash(state.incarnation().vm().value()) ^ state.incarnation().start());
	}

}
