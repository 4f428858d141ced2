package org.banyancove.core.entry;

import java.time.InstantSource;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.admission.AdmissionSystem;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.handover.HandoverCounters;
import org.banyancove.core.handover.HandoverPort;
import org.banyancove.core.handover.HandoverSystem;
import org.banyancove.core.handover.HoldTable;
import org.banyancove.core.ledger.AppendId;
import org.banyancove.core.ledger.CallKey;
import org.banyancove.core.ledger.ClaimAnswer;
import org.banyancove.core.ledger.ClaimPort;
import org.banyancove.core.ledger.ClaimSystem;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.membership.MembershipSystem;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.banyancove.core.peer.Progress;
import org.banyancove.core.profile.CheckpointSchedule;
import org.banyancove.core.profile.ProfileView;
import org.banyancove.core.routing.EndpointRegion;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.PlacementSystem;
import org.banyancove.core.stream.StreamCounters;
import org.banyancove.core.stream.StreamEntity;
import org.banyancove.core.suspect.SuspectSystem;
import org.jspecify.annotations.Nullable;

/**
 * The decision logic of one entry: handles events, updates its tables and issues
 * commands.
 * <p>
 * Not thread-safe: it is confined to the thread of the tick loop. Deterministic: the same
 * events, times and random numbers yield the same commands.
 */
public final class EntryCore {

	/** An entry that starts applies this many changes in a few milliseconds. */
	private static final int CHANGES_PER_CHECKPOINT = 2048;

	private final EntryCounters counters = new EntryCounters();

	private final EntryIdentity identity;

	private final RequestTable requests;

	private final EndpointTable endpoints;

	private final PeerTable peers;

	private final HoldTable holds = new HoldTable();

	private final SuspectSystem suspects;

	private final AnswerSystem answers;

	private final EndpointSystem endpointSystem;

	private final ClaimSystem claims;

	private final ConfigurationSystem configuration;

	private final HandoverSystem handover;

	private final MembershipSystem membership;

	private final AnswerFetchSystem fetches;

	private final PeerSystem peerSystem;

	private final ModelCallSystem modelCalls;

	private final PlainCallSystem plainCalls;

	private final RequestAdmission admission;

	private final IntakeSystem intake;

	private long invariantViolations;

	private long failedEvents;

	private boolean stopping;

	private boolean handingOver;

	/**
	 * Creates the core of an entry.
	 * @param identity the process, location and address of the entry
	 * @param settings the limits of its tables
	 * @param textCodec the codec of the profiles' records for other entries
	 * @param clock the clock
	 * @param random the source of all random choices
	 * @param commands the consumer that executes the commands
	 */
	public EntryCore(EntryIdentity identity, EntrySettings settings, ProfileTextCodec textCodec, InstantSource clock,
			RandomGenerator random, Consumer<EntryCommand> commands) {
		Incarnation incarnation = identity.incarnation();
		PeerPort port = (address, message) -> commands.accept(new EntryCommand.SendToPeer(address, message));
		PeerState self = new PeerState(incarnation, identity.dataCenter(), identity.zone(), identity.peerAddress(), 0,
				PeerStatus.ALIVE);
		this.identity = identity;
		this.endpoints = new EndpointTable(EndpointRegion.of(identity.dataCenter(), settings.region()),
				incarnation.start());
		this.requests = new RequestTable(settings.keepAnswers(), settings.keepAnswerBytes());
		this.peers = new PeerTable();
		this.suspects = new SuspectSystem(clock, settings.suspectSettleTime());
		this.answers = new AnswerSystem(this.requests, clock, commands, this.counters);
		this.endpointSystem = new EndpointSystem(this.endpoints, this.suspects, clock);
		this.claims = new ClaimSystem(incarnation, clock, random, settings.claims(), new EntryClaimPort(commands));
		this.configuration = new ConfigurationSystem(incarnation, this.peers, port, textCodec,
				new CheckpointSchedule(settings.claims().checkpointInterval(), CHANGES_PER_CHECKPOINT, clock, random),
				new ProfileReaders(self, this.peers, settings.profileReaders(), clock), clock, commands);
		this.handover = new HandoverSystem(self, this.peers, this.holds, clock, settings.handover(), port,
				new EntryHandoverPort());
		PlacementSystem placement = new PlacementSystem(this.endpoints, clock, random, settings.placement());
		AttemptSystem attempts = new AttemptSystem(this.endpoints, placement, this.suspects, clock, commands,
				this.counters, identity.dataCenter());
		HoldSystem holds = new HoldSystem(this.handover, this::accepted);
		this.modelCalls = new ModelCallSystem(this.requests, attempts, this.answers, holds, settings.streams(), clock,
				commands, this.counters);
		this.plainCalls = new PlainCallSystem(this.requests, attempts, this.answers, this.claims, holds);
		this.fetches = new AnswerFetchSystem(incarnation, this.peers, this.handover, this.holds, port, this.answers,
				clock);
		this.peerSystem = new PeerSystem(this.endpoints, this.endpointSystem, this.suspects, this.configuration,
				attempts, this.claims, this.handover, settings.claims().slots(), clock);
		this.membership = new MembershipSystem(self, this.peers, clock, settings.membership(), random, this.peerSystem,
				port, this.peerSystem);
		this.admission = new RequestAdmission(new AdmissionSystem(this.endpoints, clock), this.requests, this.answers,
				this::begin);
		this.intake = new IntakeSystem(settings, this.configuration.view(), this.requests, this.answers,
				this.modelCalls, this.plainCalls, this.admission, clock, this.counters);
	}

	/**
	 * Handles one event.
	 * @param event the event
	 */
	public void handle(EntryEvent event) {
		switch (event) {
			case EntryEvent.CallArrived arrived -> this.intake.callArrived(arrived);
			case EntryEvent.CallerReturned returned -> callerReturned(returned);
			case EntryEvent.CallerLeft left -> callerLeft(left);
			case EntryEvent.PieceArrived piece -> pieceArrived(piece);
			case EntryEvent.AttemptEnded ended -> attemptEnded(ended);
			case EntryEvent.CacheMoved moved ->
				this.modelCalls.streams().cacheMoved(moved.request(), moved.target(), moved.imported());
			case EntryEvent.VmsListed listed -> vmsListed(listed);
			case EntryEvent.ReclaimAnnounced announced -> this.endpointSystem.applyNotice(announced.notice());
			case EntryEvent.LoadReported load -> this.endpoints.loadReported(load.endpoint(), load.report());
			case EntryEvent.CacheChanged change -> this.endpoints.cacheChanged(change.endpoint(), change.change());
			case EntryEvent.KeysRead read ->
				this.claims.recordsRead(read.slot(), read.firstRetained(), read.endOffset(), read.records());
			case EntryEvent.ProfilesRead read -> this.configuration.pageRead(read.page());
			case EntryEvent.AppendAnswered answered -> this.claims.appendAnswered(answered.append(), answered.result());
			case EntryEvent.PeerMessageArrived arrived -> peerMessage(arrived.message());
			case EntryEvent.Ticked _ -> tick();
			case EntryEvent.StopRequested _ -> stop();
			case EntryEvent.HandOverRequested _ -> handOver();
		}
		this.endpointSystem.drainLeavingVms().forEach(this::vmLeaving);
		this.admission.releaseEnded();
	}

	/**
	 * Returns the counters of requests and attempts.
	 * @return the counters
	 */
	public EntryCounters counters() {
		return this.counters;
	}

	/**
	 * Returns the counters of streams.
	 * @return the counters
	 */
	public StreamCounters streamCounters() {
		return this.modelCalls.streams().counters();
	}

	/**
	 * Returns the counters of handovers.
	 * @return the counters
	 */
	public HandoverCounters handoverCounters() {
		return this.handover.counters();
	}

	/**
	 * Returns the table of endpoints, which callers must not modify.
	 * @return the table
	 */
	public EndpointTable endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the table of the other entries, which callers must not modify.
	 * @return the table
	 */
	public PeerTable peers() {
		return this.peers;
	}

	/**
	 * Returns the effective profiles and services, which callers must not modify.
	 * @return the view of the profiles' stream
	 */
	public ProfileView profiles() {
		return this.configuration.view();
	}

	/**
	 * Returns whether this entry accepts new requests.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return !this.stopping && this.configuration.view().isStarted() && !this.peers.isJoining();
	}

	/**
	 * Returns whether this entry can stop without interrupting a request.
	 * @return whether nothing is in flight
	 */
	public boolean canStop() {
		return this.stopping && this.requests.running() == 0 && this.claims.canStop() && this.handover.canStop()
				&& this.fetches.isEmpty();
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number of requests
	 */
	public int runningRequests() {
		return this.requests.running();
	}

	/**
	 * Returns the number of requests held for other entries.
	 * @return the number of requests
	 */
	public int heldRequests() {
		return this.holds.heldCount();
	}

	/**
	 * Counts a violated invariant.
	 */
	public void countInvariantViolation() {
		this.invariantViolations++;
	}

	/**
	 * Counts an event whose handling failed.
	 */
	public void countFailedEvent() {
		this.failedEvents++;
	}

	/**
	 * Returns the number of violated invariants.
	 * @return the number, 0 in a correct system
	 */
	public long invariantViolations() {
		return this.invariantViolations;
	}

	/**
	 * Returns the number of events whose handling failed.
	 * @return the number, 0 in a correct system
	 */
	public long failedEvents() {
		return this.failedEvents;
	}

	@Nullable RequestEntity request(RequestId id) {
		return this.requests.find(id);
	}

	private void callerReturned(EntryEvent.CallerReturned returned) {
		if (!this.answers.callerReturned(returned, new AnswerReader(returned.fromOffset()))) {
			this.fetches.start(returned);
		}
	}

	private void callerLeft(EntryEvent.CallerLeft left) {
		this.answers.callerLeft(left);
		this.fetches.callerLeft(left.subscriber());
	}

	private void pieceArrived(EntryEvent.PieceArrived piece) {
		RequestEntity request = this.requests.find(piece.request());
		if (request != null && !request.isEnded()) {
			this.modelCalls.pieceReceived(request, piece);
		}
	}

	private void attemptEnded(EntryEvent.AttemptEnded ended) {
		RequestEntity dispatched = this.plainCalls.dispatched(ended.request());
		if (dispatched != null && dispatched.attempt == ended.attempt()) {
			this.plainCalls.attemptEnded(dispatched, ended);
			return;
		}
		RequestEntity request = this.requests.find(ended.request());
		if (request == null || request.isEnded() || request.attempt != ended.attempt()) {
			return;
		}
		if (request.call.prompt() != null) {
			this.modelCalls.attemptEnded(request, ended);
		}
		else {
			this.plainCalls.attemptEnded(request, ended);
		}
	}

	private void vmsListed(EntryEvent.VmsListed listed) {
		this.endpointSystem.applyList(listed);
		this.membership.setSeeds(listed.entries());
	}

	private void vmLeaving(EndpointSystem.LeavingVm leaving) {
		for (EndpointId endpoint : leaving.endpoints()) {
			this.modelCalls.endpointLeaving(endpoint, leaving.reclaimAt());
		}
		this.membership.announceVmLeaving(leaving.vm(), leaving.endpoints(), leaving.reclaimAt());
		if (leaving.vm().equals(this.identity.incarnation().vm())) {
			handOver();
		}
	}

	private void peerMessage(PeerMessage message) {
		if (this.membership.receive(message) || !canAccept(message) || this.handover.receive(message)) {
			return;
		}
		switch (message) {
			case PeerMessage.AnswerPieces pieces -> this.fetches.piecesReceived(pieces);
			case PeerMessage.LogRecordsRequest request -> this.configuration.recordsRequested(request);
			case PeerMessage.LogRecordsRelay relay -> this.configuration.recordsRelayed(relay);
			default -> {
				// A message of a later version; its sender proceeds without a
				// reply.
			}
		}
	}

	// A process that has not read the profiles yet cannot complete a request and
	// must not accept it. It does not reply, so that the sender tries the next
	// peer.
	private boolean canAccept(PeerMessage message) {
		return switch (message) {
			case PeerMessage.HoldRequest request -> knowsService(request.held());
			case PeerMessage.HandOver handOver -> knowsService(handOver.held());
			default -> true;
		};
	}

	private boolean knowsService(HeldRequest held) {
		return this.configuration.view().table().service(held.service()) != null;
	}

	// A request that was waiting for capacity when the stop began is served without
	// a copy at a second entry: peers hold no requests for a process that is about
	// to end. During a handover, which a request may outlast, it is rejected before
	// it counts as accepted.
	private void begin(RequestEntity request) {
		if (this.handingOver) {
			this.answers.fail(request, ErrorKind.STOPPING, ErrorKind.STOPPING.meaning(),
					IntakeSystem.OTHER_ENTRY_RETRY_AFTER);
			return;
		}
		if (request.call.prompt() != null) {
			this.modelCalls.begin(request);
		}
		else {
			this.plainCalls.begin(request);
		}
	}

	private void accepted(RequestId id) {
		RequestEntity request = this.requests.find(id);
		if (request == null || request.phase != RequestPhase.HOLDING) {
			return;
		}
		if (request.kind() == CallKind.MODEL) {
			this.modelCalls.accepted(request);
		}
		else {
			this.plainCalls.claim(request);
		}
	}

	private void tick() {
		this.membership.tick();
		this.handover.tick();
		this.claims.tick();
		this.suspects.tick();
		this.peerSystem.sendSuspects(this.membership);
		this.configuration.tick();
		this.modelCalls.tick();
		this.fetches.tick();
		this.intake.tick();
		this.admission.tick();
	}

	// Stops accepting requests; those in flight complete at this entry.
	private void stop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.intake.stop();
		this.handover.beginStop();
		this.membership.leave();
	}

	// Hands all requests over to other entries, since this VM is about to be
	// reclaimed.
	private void handOver() {
		stop();
		this.handingOver = true;
		this.handover.handOverAll(isDataCenterLeaving());
		List<PeerState> receivers = this.peers.living()
			.stream()
			.filter((peer) -> peer.status() == PeerStatus.ALIVE
					&& !peer.incarnation().equals(this.identity.incarnation()))
			.toList();
		if (!receivers.isEmpty()) {
			this.claims.handOver(receivers.getFirst().incarnation());
		}
	}

	private boolean isDataCenterLeaving() {
		return this.peers.living(this.identity.dataCenter())
			.stream()
			.allMatch((peer) -> peer.status() == PeerStatus.LEAVING
					|| this.endpointSystem.isLeaving(peer.incarnation().vm())
					|| peer.incarnation().equals(this.identity.incarnation()));
	}

	/**
	 * Executes the commands and answers of the ledger.
	 */
	private final class EntryClaimPort implements ClaimPort {

		private final Consumer<EntryCommand> commands;

		EntryClaimPort(Consumer<EntryCommand> commands) {
			this.commands = commands;
		}

		@Override
		public void append(KeySlot slot, AppendId append, List<LedgerRecord> records) {
			this.commands.accept(new EntryCommand.AppendToLog(slot, append, records));
		}

		@Override
		public void dispatch(RequestId request, CallKey key, long intentOffset) {
			EntryCore.this.plainCalls.dispatch(request);
		}

		@Override
		public void answer(RequestId request, ClaimAnswer answer) {
			EntryCore.this.plainCalls.claimAnswered(request, answer);
		}

	}

	/**
	 * Starts, takes over and releases requests for {@link HandoverSystem}.
	 */
	private final class EntryHandoverPort implements HandoverPort {

		@Override
		public void accepted(RequestId id, boolean alone) {
			EntryCore.this.accepted(id);
		}

		@Override
		public void takeOver(HeldRequest held, Progress progress) {
			RequestEntity request = EntryCore.this.intake.adopt(held);
			EntryCore.this.modelCalls.takeOver(request, held, progress);
		}

		@Override
		public void adoptKeyed(HeldRequest held) {
			EntryCore.this.plainCalls.claim(EntryCore.this.intake.adopt(held));
		}

		@Override
		public void released(RequestId id, Incarnation owner) {
			RequestEntity request = EntryCore.this.requests.find(id);
			if (request == null || request.isEnded()) {
				return;
			}
			if (request.kind() == CallKind.MODEL) {
				EntryCore.this.fetches.follow(request, owner);
				EntryCore.this.modelCalls.released(request);
				EntryCore.this.requests.remove(request);
			}
			else {
				EntryCore.this.plainCalls.released(request);
			}
		}

		@Override
		public @Nullable AnswerBuffer answer(RequestId id) {
			StreamEntity stream = EntryCore.this.modelCalls.find(id);
			return (stream != null) ? stream.answer() : null;
		}

		@Override
		public @Nullable EndpointId endpoint(RequestId id) {
			StreamEntity stream = EntryCore.this.modelCalls.find(id);
			return (stream != null) ? stream.endpoint() : null;
		}

	}

}
