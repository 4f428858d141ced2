package org.banyancove.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;

/**
 * Several processes that run the membership protocol over a simulated network in one
 * thread. Messages arrive in the step after they were sent, unless the network is
 * partitioned or they are lost.
 */
final class MembershipFleet {

	static final Duration STEP = Duration.ofMillis(100);

	final Map<String, Member> members = new LinkedHashMap<>();

	final Set<String> paused = new HashSet<>();

	final Set<DataCenterName> partitioned = new HashSet<>();

	double lossProbability;

	private final Random random;

	private Deque<Sent> inFlight = new ArrayDeque<>();

	private Instant now = Instant.EPOCH;

	MembershipFleet(long seed) {
		this.random = new Random(seed);
	}

	Member start(String dataCenter, int number, String... seeds) {
		String address = dataCenter + "-" + number + ":1";
		Incarnation incarnation = new Incarnation(new VmId(dataCenter + "-" + number), this.random.nextLong());
		PeerState state = new PeerState(incarnation, new DataCenterName(dataCenter), new ZoneName("z" + number % 3),
				address, 0, PeerStatus.ALIVE);
		Member member = new Member(state);
		member.system.setSeeds(List.of(seeds).stream().map((seed) -> new PeerSeed(seed, null, false)).toList());
		this.members.put(address, member);
		return member;
	}

	Member member(String address) {
		return Objects.requireNonNull(this.members.get(address), address);
	}

	void run(Duration time) {
		for (Duration passed = Duration.ZERO; passed.compareTo(time) < 0; passed = passed.plus(STEP)) {
			step();
		}
	}

	private void step() {
		this.now = this.now.plus(STEP);
		Deque<Sent> arriving = this.inFlight;
		this.inFlight = new ArrayDeque<>();
		for (Sent sent : arriving) {
			Member to = this.members.get(sent.to);
			if (this.paused.contains(sent.to)) {
				this.inFlight.add(sent);
			}
			else if (to != null && this.random.nextDouble() >= this.lossProbability && !isPartitioned(sent.from, to)) {
				to.system.receive(sent.message);
			}
		}
		for (Member member : List.copyOf(this.members.values())) {
			if (!this.paused.contains(member.system.self().address())) {
				member.system.tick();
			}
		}
	}

	private boolean isPartitioned(DataCenterName from, Member to) {
		DataCenterName other = to.system.self().dataCenter();
		return !from.equals(other) && (this.partitioned.contains(from) || this.partitioned.contains(other));
	}

	final class Member implements MembershipListener, HeartbeatSource {

		final PeerTable table = new PeerTable();

		final MembershipSystem system;

		final List<PeerState> died = new ArrayList<>();

		final List<VmId> leavingVms = new ArrayList<>();

		Member(PeerState state) {
			this.system = new MembershipSystem(state, this.table, () -> MembershipFleet.this.now,
					MembershipSettings.defaults(), MembershipFleet.this.random, this,
					(address, message) -> MembershipFleet.this.inFlight
						.add(new Sent(state.dataCenter(), address, message)),
					this);
		}

		@Override
		public void died(PeerState peer) {
			this.died.add(peer);
		}

		@Override
		public void vmLeaving(PeerMessage.LeavingNotice notice) {
			this.leavingVms.add(notice.vm());
		}

		@Override
		public long configurationOffset() {
			return 0;
		}

		@Override
		public List<Long> keySlotOffsets() {
			return List.of();
		}

		@Override
		public List<EndpointLoad> drainSentLoads() {
			return List.of();
		}

		@Override
		public List<EndpointId> leavingEndpoints() {
			return List.of();
		}

		@Override
		public long suspectsDigest() {
			return 0;
		}

	}

	private record Sent(DataCenterName from, String to, PeerMessage message) {

	}

}
