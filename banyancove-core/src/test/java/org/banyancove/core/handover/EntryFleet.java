package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.membership.PeerSeed;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.banyancove.core.stream.StreamCommand;
import org.banyancove.core.stream.StreamMove;

/**
 * Simulation of four entries in two data centers, five engines and their callers over a
 * fake network with faults, in a single thread. The observations of callers are checked
 * during the run.
 */
final class EntryFleet {

	static final Duration STEP = Duration.ofMillis(50);

	private static final AccountName ACCOUNT = new AccountName("lagon");

	private static final int ENGINES = 5;

	private static final int FULL_NOTICE_MILLIS = 2000;

	private static final Duration STABILIZATION_TIME = Duration.ofSeconds(20);

	final Map<Fault, Integer> faults = new EnumMap<>(Fault.class);

	final Map<RequestId, FakeCaller> callers = new LinkedHashMap<>();

	final Map<StreamMove, Long> recomputed = new EnumMap<>(StreamMove.class);

	final Map<StreamMove, Long> moves = new EnumMap<>(StreamMove.class);

	int acceptedWithoutHolder;

	int refused;

	int fullNotices;

	int takenOver;

	int handedOver;

	private final Random random;

	private final Map<String, FakeEntry> entries = new LinkedHashMap<>();

	private final Map<EndpointId, FakeEngine> engines = new LinkedHashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, Instant> pausedUntil = new LinkedHashMap<>();

	private final Set<FakeEngine.Connection> silentConnections = new HashSet<>();

	private final Set<EndpointId> leavingEngines = new HashSet<>();

	private Instant partitionedUntil = Instant.EPOCH;

	private Instant now = Instant.EPOCH;

	private long sequence;

	private int startedCount;

	private boolean faulty;

	EntryFleet(long seed) {
		this.random = new Random(seed);
		for (int number = 0; number < ENGINES; number++) {
			startEngine();
		}
		for (String dataCenter : List.of("a", "a", "b", "b")) {
			startEntry(dataCenter);
		}
	}

	Instant now() {
		return this.now;
	}

	void run(int steps, double faultRate) {
		advance(200);
		this.faulty = true;
		for (int step = 0; step < steps; step++) {
			if (this.random.nextDouble() < faultRate) {
				inject(Fault.values()[this.random.nextInt(Fault.values().length)]);
			}
			if (this.random.nextDouble() < 0.1) {
				call();
			}
			advance(1);
		}
		this.faulty = false;
		this.partitionedUntil = this.now;
		this.pausedUntil.clear();
		advance(4000);
		for (FakeEntry entry : List.copyOf(this.entries.values())) {
			count(entry);
		}
	}

	private void advance(int steps) {
		for (int step = 0; step < steps; step++) {
			this.now = this.now.plus(STEP);
			Event next = this.events.peek();
			while (next != null && !next.at.isAfter(this.now)) {
				this.events.poll().action.run();
				next = this.events.peek();
			}
			this.engines.values().forEach((engine) -> engine.step().forEach((sent) -> stream(engine, sent)));
			for (FakeEntry entry : List.copyOf(this.entries.values())) {
				if (!isPaused(entry)) {
					entry.tick();
				}
			}
			this.callers.values().forEach(this::poll);
		}
	}

	private void inject(Fault fault) {
		List<FakeEntry> running = new ArrayList<>(this.entries.values());
		if (running.isEmpty()) {
			return;
		}
		this.callers.keySet().forEach((request) -> trace(request, fault.name()));
		this.faults.merge(fault, 1, Integer::sum);
		Collections.shuffle(running, this.random);
		FakeEngine engine = this.engines.get(choose(Set.of()));
		switch (fault) {
			case ENTRY_RECLAIMED -> reclaim(running.getFirst(), false, 2000 + this.random.nextInt(4000));
			case ENTRY_DIES_IN_NOTICE -> reclaim(running.getFirst(), false, this.random.nextInt(400));
			case DATA_CENTER_RECLAIMED -> {
				DataCenterName dataCenter = running.getFirst().self.dataCenter();
				running.stream()
					.filter((entry) -> entry.self.dataCenter().equals(dataCenter))
					.forEach((entry) -> reclaim(entry, true, 2000 + this.random.nextInt(4000)));
			}
			case ENTRY_DIES -> kill(running.getFirst());
			case ENTRY_PAUSED -> this.pausedUntil.put(running.getFirst().self.address(), later(12_000));
			case ENGINE_RECLAIMED -> reclaim(Objects.requireNonNull(engine));
			case ENGINE_DIES -> killEngine(Objects.requireNonNull(engine));
			case CONNECTION_SILENT -> this.engines.values()
				.forEach((each) -> each.sentTo.keySet().stream().limit(1).forEach(this.silentConnections::add));
			case DATA_CENTERS_CUT -> this.partitionedUntil = later(20_000);
		}
	}

	private void reclaim(FakeEntry entry, boolean wholeDataCenter, int millisLeft) {
		if (entry.leaving || isPaused(entry)) {
			return;
		}
		entry.noticeReclaim(wholeDataCenter);
		Instant noticeAt = this.now;
		at(this.now.plusMillis(millisLeft), () -> {
			if (millisLeft >= FULL_NOTICE_MILLIS && hasEligibleReceiver(entry, noticeAt)) {
				this.fullNotices++;
				this.callers.values()
					.forEach((caller) -> caller.reclaimed(entry, isKeptByOthers(entry, caller.request)));
			}
			kill(entry);
		});
	}

	// Whether an entry could have received the requests of the leaving one during its
	// entire notice: joined well before, and neither leaving, paused nor partitioned.
	private boolean hasEligibleReceiver(FakeEntry leaving, Instant noticeAt) {
		Instant stableSince = noticeAt.minus(STABILIZATION_TIME);
		return this.entries.containsValue(leaving) && !isPaused(leaving)
				&& this.entries.values().stream().anyMatch((entry) -> {
					Instant pauseEnd = this.pausedUntil.getOrDefault(entry.self.address(), Instant.EPOCH);
					boolean partitioned = !entry.self.dataCenter().equals(leaving.self.dataCenter())
							&& this.partitionedUntil.isAfter(stableSince);
					return !entry.leaving && !partitioned && pauseEnd.isBefore(stableSince)
							&& entry.startedAt.isBefore(stableSince)
							&& entry.peers.isLiving(leaving.self.incarnation());
				});
	}

	private boolean isKeptByOthers(FakeEntry leaving, RequestId request) {
		return !leaving.holds.owns(request) || this.entries.values()
			.stream()
			.anyMatch((entry) -> entry != leaving && (entry.holds.owns(request) || entry.holds.holds(request)));
	}

	private void kill(FakeEntry entry) {
		if (this.entries.remove(entry.self.address(), entry)) {
			count(entry);
			this.callers.values().forEach((caller) -> caller.entryDied(entry, isKept(caller.request)));
			this.engines.values()
				.forEach((engine) -> engine.sentTo.keySet()
					.removeIf((connection) -> connection.entry().equals(entry.self.address())));
			at(later(5000), () -> startEntry(entry.self.dataCenter().value()));
		}
	}

	private boolean isKept(RequestId request) {
		return this.entries.values()
			.stream()
			.anyMatch((entry) -> entry.holds.owns(request) || entry.holds.holds(request));
	}

	private void count(FakeEntry entry) {
		this.takenOver += (int) entry.handover.counters().takenOver();
		this.handedOver += (int) entry.handover.counters().handedOver();
		for (StreamMove move : StreamMove.values()) {
			this.moves.merge(move, entry.streams.counters().moves(move), Long::sum);
			this.recomputed.merge(move, entry.streams.counters().recomputedTokens(move), Long::sum);
		}
	}

	private void startEntry(String dataCenter) {
		this.startedCount++;
		String name = "entry-" + this.startedCount;
		PeerState state = new PeerState(new Incarnation(new VmId(name), this.random.nextLong()),
				new DataCenterName(dataCenter), new ZoneName(dataCenter + this.random.nextInt(2)), name + ":1", 0,
				PeerStatus.ALIVE);
		this.entries.put(state.address(), new FakeEntry(state, this, this.random, List.copyOf(this.entries.keySet())));
		this.entries.values()
			.forEach((entry) -> entry.membership.setSeeds(
					this.entries.keySet().stream().map((address) -> new PeerSeed(address, null, false)).toList()));
	}

	private void startEngine() {
		this.startedCount++;
		EndpointId id = new EndpointId("engine-" + this.startedCount);
		this.engines.put(id, new FakeEngine(id, this.random));
	}

	private void reclaim(FakeEngine engine) {
		if (!this.leavingEngines.add(engine.id)) {
			return;
		}
		Instant reclaimAt = this.now.plusSeconds(12);
		List<FakeEntry> running = List.copyOf(this.entries.values());
		FakeEntry first = running.get(this.random.nextInt(running.size()));
		first.membership.announceVmLeaving(new VmId(engine.id.value()), List.of(engine.id), reclaimAt);
		at(reclaimAt, () -> killEngine(engine));
		startEngine();
	}

	private void killEngine(FakeEngine engine) {
		if (this.engines.remove(engine.id) == null) {
			return;
		}
		if (!this.leavingEngines.contains(engine.id)) {
			startEngine();
		}
		at(later(1000), () -> this.entries.values().forEach((entry) -> {
			if (!isPaused(entry)) {
				entry.streams.endpointGone(engine.id);
			}
		}));
	}

	EndpointId choose(Set<EndpointId> excluded) {
		List<EndpointId> free = this.engines.keySet()
			.stream()
			.filter((id) -> !excluded.contains(id) && !this.leavingEngines.contains(id))
			.toList();
		if (free.isEmpty()) {
			return this.engines.keySet().iterator().next();
		}
		return free.get(this.random.nextInt(free.size()));
	}

	void command(FakeEntry entry, StreamCommand command) {
		at(later(200), () -> {
			if (this.entries.containsValue(entry) && !isPaused(entry)) {
				execute(entry, command);
			}
		});
	}

	private void execute(FakeEntry entry, StreamCommand command) {
		RequestId request = command.request();
		trace(request, entry.self.incarnation().vm() + " " + command);
		switch (command) {
			case StreamCommand.Place place -> entry.streams.placed(request, choose(place.excluded()));
			case StreamCommand.Start start -> open(entry, request, start.attempt(), start.endpoint(), 0, true);
			case StreamCommand.Reattach reattach ->
				open(entry, request, reattach.attempt(), reattach.endpoint(), reattach.fromOffset(), false);
			case StreamCommand.Continue resume -> {
				check(resume.text().equals(FakeEngine.text(request, 0, resume.fromOffset())), request, "resume text");
				open(entry, request, resume.attempt(), resume.endpoint(), resume.fromOffset(), true);
			}
			case StreamCommand.MoveCache move -> {
				FakeEngine source = this.engines.get(move.source());
				boolean moved = source != null && source.knows(request) && this.engines.containsKey(move.target())
						&& this.random.nextInt(4) > 0;
				entry.streams.cacheMoved(request, move.target(), moved);
			}
			case StreamCommand.Close close -> close(entry, close);
			case StreamCommand.Deliver deliver -> throw new IllegalStateException(deliver.toString());
			case StreamCommand.End end -> throw new IllegalStateException(end.toString());
		}
	}

	private void open(FakeEntry entry, RequestId request, int attempt, EndpointId endpoint, long from, boolean begin) {
		FakeEngine engine = this.engines.get(endpoint);
		FakeEngine.Connection connection = new FakeEngine.Connection(entry.self.address(), request, attempt);
		if (engine == null || (!begin && !engine.knows(request))) {
			entry.streams.connectionFailed(request, attempt, false);
		}
		else if (begin) {
			engine.start(connection, (int) from);
		}
		else {
			engine.attach(connection, (int) from);
		}
	}

	private void close(FakeEntry entry, StreamCommand.Close close) {
		FakeEngine engine = this.engines.get(close.endpoint());
		if (engine != null) {
			engine.sentTo.remove(new FakeEngine.Connection(entry.self.address(), close.request(), close.attempt()));
			if (close.cancel()) {
				engine.cancel(close.request());
			}
		}
	}

	/**
	 * Sends a piece, possibly delayed, duplicated, reordered, lost, or over a silent
	 * connection.
	 */
	private void stream(FakeEngine engine, FakeEngine.Sent sent) {
		if (this.silentConnections.contains(sent.connection()) || (this.faulty && this.random.nextInt(200) == 0)) {
			return;
		}
		int copies = (this.faulty && this.random.nextInt(50) == 0) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			int delay = (this.faulty && this.random.nextInt(50) == 0) ? 400 : 20;
			at(this.now.plusMillis(delay), () -> deliver(engine, sent));
		}
	}

	private void deliver(FakeEngine engine, FakeEngine.Sent sent) {
		FakeEntry entry = this.entries.get(sent.connection().entry());
		if (entry == null) {
			return;
		}
		if (isPaused(entry)) {
			at(this.now.plusMillis(100), () -> deliver(engine, sent));
			return;
		}
		RequestId request = sent.connection().request();
		Piece piece = sent.piece();
		if (piece != null) {
			entry.streams.piece(request, piece);
		}
		else {
			entry.streams.ended(request, sent.connection().attempt(), FakeEngine.TOKENS, "stop");
		}
	}

	void send(PeerState from, String address, PeerMessage message) {
		if (this.faulty && this.random.nextInt(50) == 0) {
			return;
		}
		int copies = (this.faulty && this.random.nextInt(50) == 0) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			int delay = (this.faulty && this.random.nextInt(20) == 0) ? this.random.nextInt(1500) : 2;
			at(this.now.plusMillis(delay), () -> arrive(from, address, message));
		}
	}

	private void arrive(PeerState from, String address, PeerMessage message) {
		FakeEntry to = this.entries.get(address);
		if (to == null) {
			return;
		}
		boolean partitioned = this.now.isBefore(this.partitionedUntil)
				&& !from.dataCenter().equals(to.self.dataCenter());
		if (partitioned) {
			return;
		}
		if (isPaused(to)) {
			at(this.now.plusMillis(100), () -> arrive(from, address, message));
			return;
		}
		to.receive(message);
	}

	private void call() {
		List<FakeEntry> accepting = this.entries.values()
			.stream()
			.filter((entry) -> !entry.leaving && !isPaused(entry))
			.toList();
		if (accepting.isEmpty()) {
			this.refused++;
			return;
		}
		RequestId request = new RequestId("r" + this.callers.size());
		FakeEntry entry = accepting.get(this.random.nextInt(accepting.size()));
		this.callers.put(request, new FakeCaller(request, entry, this.now));
		try {
			entry.offer(request(request));
		}
		catch (BanyancoveException ex) {
			this.refused++;
		}
	}

	HeldRequest request(RequestId request) {
		return new HeldRequest(request, ACCOUNT, new ServiceName("plans"), CallKind.MODEL, 0, "POST",
				"/v1/chat/completions", Body.of("{}"), null, Instant.EPOCH.plus(Duration.ofDays(1)));
	}

	void accepted(FakeEntry entry, RequestId request, boolean alone) {
		if (alone) {
			this.acceptedWithoutHolder++;
		}
		caller(request).accepted(entry);
	}

	void acceptedElsewhere(FakeEntry entry, RequestId request) {
		caller(request).accepted(entry);
		caller(request).reconnected(entry, this.now);
	}

	void delivered(FakeEntry entry, RequestId request) {
		AnswerBuffer answer = Objects.requireNonNull(entry.answer(request));
		caller(request).delivered(entry, answer.readFrom(caller(request).offset), this.now);
	}

	void completed(FakeEntry entry, RequestId request, long totalOffset) {
		check(totalOffset == FakeEngine.TOKENS, request, "short answer of " + totalOffset);
		caller(request).completed(entry);
	}

	void failed(RequestId request, EndOfAnswer.Failed failed) {
		throw new AssertionError("request " + request + " must not be given up: " + failed + caller(request).trace);
	}

	/** Reconnects a caller without progress to another entry, which queries its peers. */
	private void poll(FakeCaller caller) {
		if (!caller.isWaiting()) {
			return;
		}
		FakeEntry entry = caller.entry;
		boolean gone = !this.entries.containsValue(entry);
		if (gone || caller.isStalled(this.now)) {
			List<FakeEntry> running = List.copyOf(this.entries.values());
			if (running.isEmpty()) {
				return;
			}
			entry = running.get(this.random.nextInt(running.size()));
			caller.reconnected(entry, this.now);
		}
		if (caller.reconnects && !isPaused(entry) && caller.mayPoll(this.now)) {
			RequestId request = caller.request;
			PeerMessage.FetchAnswer fetch = new PeerMessage.FetchAnswer(entry.self.incarnation(), request, ACCOUNT,
					caller.offset);
			entry.handover.receive(fetch);
			for (PeerState peer : entry.handover.findLikelyPeers(request)) {
				send(entry.self, peer.address(), fetch);
			}
		}
	}

	void fetched(FakeEntry entry, PeerMessage.AnswerPieces answer) {
		FakeCaller caller = caller(answer.request());
		if (caller.reconnects) {
			caller.delivered(entry, answer.pieces(), this.now);
			if (answer.end() instanceof EndOfAnswer.Complete && caller.offset == FakeEngine.TOKENS) {
				caller.completed(entry);
			}
		}
	}

	private void trace(RequestId request, String event) {
		caller(request).trace.add("\n" + Duration.between(Instant.EPOCH, this.now).toMillis() + " " + event);
	}

	private FakeCaller caller(RequestId request) {
		return Objects.requireNonNull(this.callers.get(request), request.value());
	}

	private boolean isPaused(FakeEntry entry) {
		Instant until = this.pausedUntil.get(entry.self.address());
		return until != null && this.now.isBefore(until);
	}

	private Instant later(int maximumMillis) {
		return this.now.plusMillis(1 + this.random.nextInt(maximumMillis));
	}

	private void at(Instant time, Runnable action) {
		this.sequence++;
		this.events.add(new Event(time, this.sequence, action));
	}

	static void check(boolean condition, RequestId request, String what) {
		if (!condition) {
			throw new AssertionError("request " + request + ": " + what);
		}
	}

	enum Fault {

		ENTRY_RECLAIMED, ENTRY_DIES_IN_NOTICE, DATA_CENTER_RECLAIMED, ENTRY_DIES, ENTRY_PAUSED, ENGINE_RECLAIMED,
		ENGINE_DIES, CONNECTION_SILENT, DATA_CENTERS_CUT

	}

	private record Event(Instant at, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = this.at.compareTo(other.at);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
