package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.membership.HeartbeatSource;
import org.banyancove.core.membership.MembershipListener;
import org.banyancove.core.membership.MembershipSettings;
import org.banyancove.core.membership.MembershipSystem;
import org.banyancove.core.membership.PeerSeed;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.Progress;
import org.banyancove.core.stream.StreamCommand;
import org.banyancove.core.stream.StreamEntity;
import org.banyancove.core.stream.StreamPort;
import org.banyancove.core.stream.StreamSettings;
import org.banyancove.core.stream.StreamSystem;
import org.banyancove.core.stream.StreamTable;
import org.jspecify.annotations.Nullable;

/**
 * The membership, handover and stream systems of an entry, connected as in the real
 * entry.
 */
final class FakeEntry implements MembershipListener, HeartbeatSource, HandoverPort, StreamPort {

	static final int PROMPT_TOKENS = 100;

	final PeerState self;

	final PeerTable peers = new PeerTable();

	final HoldTable holds = new HoldTable();

	final StreamTable streamTable = new StreamTable();

	final MembershipSystem membership;

	final HandoverSystem handover;

	final StreamSystem streams;

	final Set<RequestId> waiting = new HashSet<>();

	final Instant startedAt;

	boolean leaving;

	private final EntryFleet fleet;

	FakeEntry(PeerState self, EntryFleet fleet, Random random, List<String> seeds) {
		this.self = self;
		this.fleet = fleet;
		this.startedAt = fleet.now();
		this.membership = new MembershipSystem(self, this.peers, fleet::now, MembershipSettings.defaults(), random,
				this, this::send, this);
		this.membership.setSeeds(seeds.stream().map((seed) -> new PeerSeed(seed, null, false)).toList());
		Set<DataCenterName> nearby = Set.of(new DataCenterName("a"), new DataCenterName("b"));
		this.handover = new HandoverSystem(self, this.peers, this.holds, fleet::now, HandoverSettings.defaults(nearby),
				this::send, this);
		this.streams = new StreamSystem(this.streamTable, fleet::now, StreamSettings.defaults(), this);
	}

	void tick() {
		this.membership.tick();
		this.handover.tick();
		this.streams.tick();
	}

	void receive(PeerMessage message) {
		if (message instanceof PeerMessage.AnswerPieces pieces) {
			this.fleet.fetched(this, pieces);
			return;
		}
		boolean known = this.membership.receive(message) || this.handover.receive(message);
		if (!known) {
			throw new IllegalStateException("message must be known: " + message);
		}
	}

	void offer(HeldRequest request) {
		this.waiting.add(request.request());
		this.handover.offer(request);
	}

	void noticeReclaim(boolean wholeDataCenter) {
		this.leaving = true;
		this.membership.leave();
		this.handover.handOverAll(wholeDataCenter);
	}

	private void send(String address, PeerMessage message) {
		this.fleet.send(this.self, address, message);
	}

	@Override
	public void joined(PeerState peer) {
		this.handover.joined(peer);
	}

	@Override
	public void died(PeerState peer) {
		this.handover.died(peer);
	}

	@Override
	public void leaving(PeerState peer) {
		this.handover.leaving(peer);
	}

	@Override
	public void vmLeaving(PeerMessage.LeavingNotice notice) {
		notice.endpoints().forEach((endpoint) -> this.streams.endpointLeaving(endpoint, notice.reclaimAt()));
	}

	@Override
	public void accepted(RequestId request, boolean alone) {
		this.waiting.remove(request);
		this.fleet.accepted(this, request, alone);
		EndpointId endpoint = this.fleet.choose(Set.of());
		this.streams.start(this.fleet.request(request), endpoint, PROMPT_TOKENS, FakeEngine.TOKENS);
	}

	@Override
	public void takeOver(HeldRequest held, Progress progress) {
		if (held.kind() != CallKind.MODEL) {
			throw new IllegalStateException("holder must not run: " + held);
		}
		this.streams.adopt(held, progress, PROMPT_TOKENS, FakeEngine.TOKENS);
	}

	@Override
	public void adoptKeyed(HeldRequest held) {
		throw new IllegalStateException("no keyed call is made: " + held);
	}

	@Override
	public void released(RequestId request, Incarnation owner) {
		this.streams.released(request);
		if (this.waiting.remove(request)) {
			this.fleet.acceptedElsewhere(this, request);
		}
	}

	@Override
	public @Nullable AnswerBuffer answer(RequestId request) {
		StreamEntity stream = this.streamTable.find(request);
		return (stream != null) ? stream.answer() : null;
	}

	@Override
	public @Nullable EndpointId endpoint(RequestId request) {
		StreamEntity stream = this.streamTable.find(request);
		return (stream != null) ? stream.endpoint() : null;
	}

	@Override
	public void execute(StreamCommand command) {
		switch (command) {
			case StreamCommand.Deliver deliver -> this.fleet.delivered(this, deliver.request());
			case StreamCommand.End end -> ended(end);
			default -> this.fleet.command(this, command);
		}
	}

	private void ended(StreamCommand.End end) {
		this.handover.ended(end.request(), end.totalOffset(), end.end());
		if (end.end() instanceof EndOfAnswer.Failed failed) {
			this.fleet.failed(end.request(), failed);
		}
		else {
			this.fleet.completed(this, end.request(), end.totalOffset());
		}
	}

	@Override
	public Duration retryAfter(ServiceName service) {
		return Duration.ofSeconds(7);
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
