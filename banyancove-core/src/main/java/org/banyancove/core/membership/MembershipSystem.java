package org.banyancove.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;

/**
 * Gossip-based group membership of the entry processes. Maintains the {@link PeerTable},
 * sends periodic heartbeats and dispatches the messages that it receives:
 * {@link PeerStateMerger} resolves conflicting states, {@link Neighborhood} selects the
 * peers that receive messages, {@link FailureDetector} detects failed peers, and
 * {@link DigestExchange} requests missed updates. Used by the entry's tick thread only.
 */
public final class MembershipSystem {

	private static final int JOINING_ROUNDS = 10;

	private final PeerTable table;

	private final InstantSource clock;

	private final MembershipSettings settings;

	private final RandomGenerator random;

	private final HeartbeatSource source;

	private final PeerPort port;

	private final MembershipListener listener;

	private final PeerStateMerger peerStates;

	private final Neighborhood neighborhood;

	private final FailureDetector failureDetector;

	private final DigestExchange digests;

	private final SeedAddresses seeds;

	private final SeenNotices notices;

	private final JoinDeadline joinDeadline;

	private Instant nextRound;

	private long sequence;

	/**
	 * Creates the system and adds this process to the table.
	 * @param self this process
	 * @param table the table to maintain
	 * @param clock the clock
	 * @param settings the timeouts and bounds
	 * @param random the random generator for jitter and peer selection
	 * @param source provides the content of heartbeats
	 * @param port sends messages
	 * @param listener receives membership events
	 */
	public MembershipSystem(PeerState self, PeerTable table, InstantSource clock, MembershipSettings settings,
			RandomGenerator random, HeartbeatSource source, PeerPort port, MembershipListener listener) {
		this.table = table;
		this.clock = clock;
		this.settings = settings;
		this.random = random;
		this.source = source;
		this.port = port;
		this.listener = listener;
		this.joinDeadline = new JoinDeadline(table, clock);
		this.peerStates = new PeerStateMerger(self, table, clock, settings, listener, this.joinDeadline);
		this.neighborhood = new Neighborhood(self, table, clock, settings, port);
		this.failureDetector = new FailureDetector(this.peerStates, table, settings, this.neighborhood, port);
		this.digests = new DigestExchange(self, table, port);
		this.seeds = new SeedAddresses(table, random);
		this.notices = new SeenNotices(clock);
		this.nextRound = clock.instant();
	}

	/**
	 * Returns the state that this process reports of itself.
	 * @return this process's state
	 */
	public PeerState self() {
		return this.peerStates.self();
	}

	/**
	 * Replaces the addresses of possible peers: those of the settings and of the
	 * platform's list, which may be outdated.
	 * @param newSeeds the addresses, with or without this process's own
	 */
	public void setSeeds(List<PeerSeed> newSeeds) {
		this.seeds.replace(newSeeds, self().address());
		Set<VmId> leavingVms = new HashSet<>();
		for (PeerSeed seed : newSeeds) {
			VmId vm = seed.vm();
			if (seed.leaving() && vm != null) {
				leavingVms.add(vm);
			}
		}
		for (PeerState peer : this.table.living()) {
			if (leavingVms.contains(peer.incarnation().vm())) {
				this.peerStates.merge(peer.withStatus(PeerStatus.LEAVING));
			}
		}
		if (!this.seeds.isEmpty()) {
			this.joinDeadline.start();
		}
		this.joinDeadline.refresh();
	}

	/**
	 * Sends due heartbeats and probes, and applies the timeouts of silent, suspected and
	 * dead peers.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		this.joinDeadline.refresh();
		this.neighborhood.refresh(now);
		this.failureDetector.suspectSilentPeers(now);
		this.failureDetector.suspectSilentDataCenters(now);
		if (now.isBefore(this.nextRound)) {
			return;
		}
		this.nextRound = now.plus(jittered(this.settings.heartbeatInterval()));
		this.failureDetector.declareSuspectedDead(now);
		removeExpired(now);
		this.neighborhood.refresh(now);
		this.failureDetector.probeSilentPeers(now);
		sendHeartbeats();
	}

	/**
	 * Processes a message from a peer.
	 * @param message the message
	 * @return whether it was a membership message
	 */
	public boolean receive(PeerMessage message) {
		PeerEntity sender = this.table.entity(message.from());
		if (sender != null) {
			sender.recordContact(this.clock.instant());
			this.neighborhood.recordContact(sender.state().dataCenter(), this.clock.instant());
		}
		switch (message) {
			case PeerMessage.Heartbeat heartbeat -> receiveHeartbeat(heartbeat);
			case PeerMessage.Probe probe -> this.failureDetector.receive(probe);
			case PeerMessage.MembershipRequest request -> this.digests.answer(request);
			case PeerMessage.MembershipState state -> this.peerStates.mergeAll(state);
			case PeerMessage.LeavingNotice notice -> disseminate(notice);
			case PeerMessage.SuspectNotice notice -> disseminate(notice);
			default -> {
				return false;
			}
		}
		return true;
	}

	/**
	 * Announces that this process is leaving.
	 */
	public void leave() {
		if (self().status() == PeerStatus.ALIVE) {
			updateSelf(PeerStatus.LEAVING);
		}
	}

	/**
	 * Announces that this process terminates now, so that peers need not wait for a
	 * timeout.
	 */
	public void announceTermination() {
		updateSelf(PeerStatus.DEAD);
	}

	/**
	 * Notifies peers immediately that a VM is about to be reclaimed.
	 * @param vm the VM
	 * @param endpoints the endpoints on it
	 * @param reclaimAt the time at which the platform reclaims it
	 */
	public void announceVmLeaving(VmId vm, List<EndpointId> endpoints, Instant reclaimAt) {
		disseminate(new PeerMessage.LeavingNotice(self().incarnation(), vm, endpoints, reclaimAt));
	}

	/**
	 * Notifies peers immediately of the verdict on a fingerprint.
	 * @param notice the notice
	 */
	public void announceSuspect(PeerMessage.SuspectNotice notice) {
		disseminate(notice);
	}

	/**
	 * Notifies one peer of the verdict on a fingerprint.
	 * @param peer the peer
	 * @param notice the notice
	 */
	public void sendSuspectNotice(Incarnation peer, PeerMessage.SuspectNotice notice) {
		PeerEntity entity = this.table.entity(peer);
		if (entity != null) {
			this.port.send(entity.state().address(), notice);
		}
	}

	/**
	 * Returns the peers to which this process sends heartbeats, relays included.
	 * @return the peers
	 */
	public List<PeerState> neighbors() {
		return this.neighborhood.targets();
	}

	private void receiveHeartbeat(PeerMessage.Heartbeat heartbeat) {
		heartbeat.states().forEach(this.peerStates::merge);
		PeerEntity sender = this.table.entity(heartbeat.from());
		if (sender == null) {
			return;
		}
		Instant now = this.clock.instant();
		sender.recordContact(now);
		PeerState state = sender.state();
		if (state.status() == PeerStatus.DEAD || state.status() == PeerStatus.SUSPECTED) {
			// The sender is alive but unaware of the suspicion. Only a higher refutation
			// number of its own overrules it, so the state is returned to the sender.
			this.port.send(state.address(), new PeerMessage.MembershipState(self().incarnation(), List.of(state)));
		}
		this.digests.compare(heartbeat, state);
		this.listener.heartbeatReceived(heartbeat);
	}

	private void updateSelf(PeerStatus status) {
		this.peerStates.updateSelf(status);
		this.neighborhood.send(new PeerMessage.MembershipState(self().incarnation(), List.of(self())));
	}

	private void disseminate(PeerMessage.LeavingNotice notice) {
		if (!this.notices.addIfAbsent("vm " + notice.vm())) {
			return;
		}
		this.listener.vmLeaving(notice);
		this.neighborhood.send(new PeerMessage.LeavingNotice(self().incarnation(), notice.vm(), notice.endpoints(),
				notice.reclaimAt()));
		for (PeerState peer : this.table.living()) {
			if (peer.incarnation().vm().equals(notice.vm()) && peer.status() == PeerStatus.ALIVE) {
				markLeaving(peer);
			}
		}
	}

	private void markLeaving(PeerState peer) {
		if (peer.incarnation().equals(self().incarnation())) {
			leave();
		}
		else {
			this.peerStates.merge(peer.withStatus(PeerStatus.LEAVING));
		}
	}

	private void disseminate(PeerMessage.SuspectNotice notice) {
		if (!this.notices.addIfAbsent("suspect " + notice.fingerprint() + notice.verdict() + notice.endpoint())) {
			return;
		}
		this.listener.suspectReported(notice);
		this.neighborhood.send(new PeerMessage.SuspectNotice(self().incarnation(), notice.fingerprint(),
				notice.verdict(), notice.endpoint(), notice.at()));
	}

	private void removeExpired(Instant now) {
		Instant limit = now.minus(this.settings.retention());
		List<Incarnation> expired = new ArrayList<>();
		for (PeerEntity peer : this.table.entities()) {
			boolean removable = !peer.state().isLiving() && !peer.state().incarnation().equals(self().incarnation());
			if (removable && peer.changedAt().isBefore(limit)) {
				expired.add(peer.state().incarnation());
			}
		}
		expired.forEach(this.table::remove);
		this.digests.remove(expired);
		this.notices.removeBefore(limit);
	}

	private void sendHeartbeats() {
		this.sequence++;
		List<EndpointLoad> loads = this.source.drainSentLoads()
			.stream()
			.sorted(Comparator.comparingLong(EndpointLoad::tokens).reversed())
			.limit(this.settings.loadsPerHeartbeat())
			.toList();
		List<PeerState> states = this.peerStates.nextUpdates();
		List<PeerState> targets = this.neighborhood.targets();
		for (PeerState target : targets) {
			this.port.send(target.address(), heartbeat(loads, states, target.dataCenter()));
		}
		if (this.sequence <= JOINING_ROUNDS && !targets.isEmpty()) {
			requestStates(targets);
		}
		contactSeeds();
	}

	// When many processes start together, the seed has not recorded most of them yet.
	// A new process hence also requests the states of some neighbors.
	private void requestStates(List<PeerState> targets) {
		PeerState neighbor = targets.get(this.random.nextInt(targets.size()));
		this.port.send(neighbor.address(), this.digests.request());
	}

	private void contactSeeds() {
		for (String address : this.seeds.choose()) {
			this.port.send(address, heartbeat(List.of(), List.of(self()), self().dataCenter()));
			this.port.send(address, this.digests.request());
		}
	}

	private PeerMessage.Heartbeat heartbeat(List<EndpointLoad> loads, List<PeerState> states,
			DataCenterName targetDataCenter) {
		List<EndpointId> leaving = this.source.leavingEndpoints();
		boolean sameDataCenter = targetDataCenter.equals(self().dataCenter());
		long digest = this.table.digest(self().dataCenter());
		List<EndpointLoad> sent = List.of();
		if (sameDataCenter) {
			digest = this.table.digest();
			sent = loads;
		}
		return new PeerMessage.Heartbeat(self().incarnation(), this.sequence, digest, this.source.configurationOffset(),
				this.source.keySlotOffsets(), sent,
				leaving.subList(0, Math.min(leaving.size(), this.settings.loadsPerHeartbeat())),
				this.source.suspectsDigest(), states);
	}

	private Duration jittered(Duration interval) {
		// Shortens the interval by up to 10 % so that processes started together do not
		// send in lockstep.
		return interval.minusNanos(this.random.nextLong(interval.toNanos() / 10 + 1));
	}

}
