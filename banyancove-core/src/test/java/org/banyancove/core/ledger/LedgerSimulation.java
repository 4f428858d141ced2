package org.banyancove.core.ledger;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Deterministic simulation of several claim systems with a fake log and a fake endpoint
 * in virtual time, under combined faults. The same seed gives the same run.
 */
final class LedgerSimulation {

	private static final Duration STEP = Duration.ofMillis(10);

	private static final int PROCESSES = 4;

	private static final int LIVE_KEYS = 20;

	private static final int STEPS_PER_KEY = 25;

	private final long seed;

	private final SplittableRandom random;

	private final ClaimSettings settings;

	private final List<Duration> answerWindows;

	private final LedgerOracle oracle;

	private final List<FakeLog> logs = new ArrayList<>();

	private final List<EntryProcess> processes = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparing(Event::at).thenComparingLong(Event::sequence));

	private final Map<Integer, Integer> resets = new HashMap<>();

	private final Map<RecordId, Instant> sentAt = new HashMap<>();

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private Instant logDownUntil = this.now;

	private long sequence;

	private long steps;

	private boolean healed;

	LedgerSimulation(long seed, ClaimSettings settings) {
		this(seed, settings, List.of(settings.answerWindow()));
	}

	// Creates a simulation whose processes use different answer windows.
	LedgerSimulation(long seed, ClaimSettings settings, List<Duration> answerWindows) {
		this.seed = seed;
		this.answerWindows = List.copyOf(answerWindows);
		this.random = new SplittableRandom(seed);
		this.settings = settings;
		this.oracle = new LedgerOracle(settings.keyWindow());
		for (int slot = 0; slot < settings.slots(); slot++) {
			this.logs.add(new FakeLog());
		}
		for (int index = 0; index < PROCESSES; index++) {
			this.processes.add(new EntryProcess(new VmId("vm-" + index)));
		}
	}

	Map<String, Integer> run(int count) {
		for (int step = 0; step < count; step++) {
			act();
			advance();
		}
		recover();
		return this.oracle.counts();
	}

	@Override
	public String toString() {
		return "ledger run: seed " + this.seed + ", steps " + this.steps + ", " + this.oracle.counts();
	}

	private void act() {
		if (chance(0.15)) {
			call();
		}
		if (chance(0.002)) {
			fault("outage");
			this.logDownUntil = this.now.plus(millis(500, 6000));
		}
		if (chance(0.004)) {
			fault("death");
			replace(this.random.nextInt(PROCESSES));
		}
		if (chance(0.004)) {
			fault("pause");
			anyProcess().pausedUntil = this.now.plus(millis(100, 8000));
		}
		if (chance(0.0004)) {
			fault("all replaced");
			for (int index = 0; index < PROCESSES; index++) {
				replace(index);
			}
		}
		if (chance(0.005)) {
			reclaim();
		}
		if (chance(0.002)) {
			restoreFromPeer(anyProcess());
		}
		if (chance(0.001)) {
			fault("stop");
			anyProcess().stop();
		}
	}

	private void call() {
		long recent = Math.max(0, this.steps / STEPS_PER_KEY - this.random.nextInt(LIVE_KEYS));
		boolean otherBody = chance(0.05);
		if (otherBody) {
			fault("other body");
		}
		int entries = chance(0.3) ? 2 : 1;
		for (int entry = 0; entry < entries; entry++) {
			submit(anyProcess(), key(recent), otherBody ? "other" : "body");
		}
	}

	private ClaimSettings settings(Incarnation process) {
		Duration answerWindow = this.answerWindows.get(Math.floorMod(process.start(), this.answerWindows.size()));
		return this.settings.withAnswerWindow(answerWindow);
	}

	private RequestId submit(EntryProcess process, CallKey key, String body) {
		RequestId id = new RequestId("request-" + this.sequence++);
		BodyDigest digest = new BodyDigest(body);
		Duration timeout = millis(300, 6000);
		process.post((target) -> target.submit(new ClaimRequest(id, key, digest, target.clock().plus(timeout))));
		return id;
	}

	// A process that starts while others are running may receive their state.
	private void restoreFromPeer(EntryProcess process) {
		EntryProcess peer = anyProcess();
		for (int index = 0; index < this.logs.size(); index++) {
			KeySlot slot = new KeySlot(index);
			List<LedgerRecord.Checkpoint> parts = peer.system.checkpoint(slot);
			process.post((target) -> target.system.restore(slot, parts));
		}
	}

	private void reclaim() {
		fault("reclaim notice");
		EntryProcess leaving = anyProcess();
		EntryProcess receiver = anyProcess();
		if (receiver != leaving) {
			leaving.post((process) -> process.system.handOver(receiver.self).forEach((request) -> {
				process.submitted.remove(request.request());
				receiver.post((target) -> target.submit(request));
			}));
			int index = this.processes.indexOf(leaving);
			schedule(millis(50, 3000), () -> {
				if (this.processes.get(index) == leaving) {
					replace(index);
				}
			});
		}
	}

	private void replace(int index) {
		this.processes.get(index).alive = false;
		this.processes.set(index, new EntryProcess(this.processes.get(index).self.vm()));
	}

	private void advance() {
		this.steps++;
		this.now = this.now.plus(STEP);
		while (!this.events.isEmpty() && !this.events.peek().at().isAfter(this.now)) {
			this.events.remove().action().run();
		}
		for (FakeLog log : this.logs) {
			if (log.trim(this.now, this.settings.retention()) > 0) {
				fault("trim");
			}
		}
		this.processes.forEach(EntryProcess::wake);
	}

	// Heals all faults, then submits fresh keys to each process in every slot: the system
	// must be functional after the faults.
	private void recover() {
		this.healed = true;
		this.logDownUntil = this.now;
		for (int index = 0; index < PROCESSES; index++) {
			if (this.processes.get(index).stopped) {
				replace(index);
			}
		}
		Duration recoveryTime = this.settings.retention().plus(this.settings.checkpointInterval().multipliedBy(2));
		advance(recoveryTime.dividedBy(STEP));
		this.logs.forEach(this::resetIfLost);
		advance(500);
		List<CallKey> keys = new ArrayList<>();
		for (int number = 0; number < PROCESSES * this.settings.slots() * 2; number++) {
			keys.add(key(-1 - number));
			submit(this.processes.get(number % PROCESSES), keys.getLast(), "body");
		}
		advance(1000);
		this.processes.forEach(
				(process) -> assertThat(process.system.ready()).as("%s is ready after healing, %s", process.self, this)
					.isTrue());
		assertThat(keys).as("fresh keys after healing, %s", this)
			.allSatisfy((key) -> assertThat(this.oracle.runCount(key)).isEqualTo(1));
		this.processes.forEach(EntryProcess::checkTables);
		this.logs.forEach((log) -> log.all()
			.forEach((logged) -> this.oracle.count("record " + logged.record().getClass().getSimpleName())));
	}

	// If keys outlive retention and every process with a complete view has failed, it is
	// unknown which calls ran. The operator resets the state by an empty checkpoint.
	private void resetIfLost(FakeLog log) {
		KeySlot slot = new KeySlot(this.logs.indexOf(log));
		if (this.processes.stream().noneMatch((process) -> process.system.table(slot).complete())) {
			fault("state lost");
			KeyTable empty = new KeyTable(this.settings.answerWindow());
			empty.emptied(log.all().size());
			this.resets.put(slot.index(), log.all().size());
			log.append(List.copyOf(empty.checkpoint(new RecordId("operator"))), this.now);
		}
	}

	private void advance(long count) {
		for (long step = 0; step < count; step++) {
			advance();
		}
	}

	private CallKey key(long number) {
		return new CallKey(new AccountName("account"), new ServiceName("orders"), "key" + number);
	}

	private EntryProcess anyProcess() {
		return this.processes.get(this.random.nextInt(PROCESSES));
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private boolean fails(String kind, double probability) {
		if (this.healed || !chance(probability)) {
			return false;
		}
		fault(kind);
		return true;
	}

	private void fault(String kind) {
		this.oracle.count("fault " + kind);
	}

	private Duration millis(int minimum, int maximum) {
		return Duration.ofMillis(this.random.nextInt(minimum, maximum));
	}

	private void schedule(Duration delay, Runnable action) {
		this.events.add(new Event(this.now.plus(delay), this.sequence++, action));
	}

	private boolean logDown() {
		return this.now.isBefore(this.logDownUntil);
	}

	private record Event(Instant at, long sequence, Runnable action) {

	}

	@FunctionalInterface
	private interface Message {

		void deliver(EntryProcess process);

	}

	/** A single incarnation of an entry process. */
	private final class EntryProcess implements ClaimPort {

		private final Incarnation self;

		private final Duration skew = millis(0, 4000).minusSeconds(2);

		private final ClaimSystem system;

		private final List<Message> inbox = new ArrayList<>();

		private final Map<RequestId, Submitted> submitted = new HashMap<>();

		private boolean alive = true;

		private boolean stopped;

		private Instant pausedUntil = LedgerSimulation.this.now;

		EntryProcess(VmId vm) {
			this.self = new Incarnation(vm, LedgerSimulation.this.random.nextLong());
			this.system = new ClaimSystem(this.self, this::clock, LedgerSimulation.this.random.split(),
					settings(this.self), this);
			LedgerSimulation.this.logs.forEach((log) -> poll(new KeySlot(LedgerSimulation.this.logs.indexOf(log))));
		}

		Instant clock() {
			return LedgerSimulation.this.now.plus(this.skew);
		}

		void post(Message message) {
			this.inbox.add(message);
		}

		void wake() {
			if (!this.alive || LedgerSimulation.this.now.isBefore(this.pausedUntil)) {
				return;
			}
			List<Message> messages = List.copyOf(this.inbox);
			this.inbox.clear();
			messages.forEach((message) -> message.deliver(this));
			this.system.tick();
		}

		void submit(ClaimRequest request) {
			if (!this.submitted.containsKey(request.request())) {
				this.submitted.put(request.request(), new Submitted(request, LedgerSimulation.this.now));
				this.system.submit(request);
			}
		}

		void stop() {
			this.stopped = true;
			post((process) -> process.system.abandon());
		}

		@Override
		public void append(KeySlot slot, AppendId append, List<LedgerRecord> records) {
			LedgerSimulation simulation = LedgerSimulation.this;
			records.forEach((record) -> simulation.sentAt.putIfAbsent(record.id(), simulation.now));
			if (fails("append refused", 0.03)) {
				appendAnswered(append, millis(1, 50), new AppendResult.Refused(millis(1, 300)));
				return;
			}
			boolean slow = fails("append slow", 0.05);
			boolean late = fails("append takes effect late", 0.04);
			boolean answerLost = fails("append answer lost", 0.06);
			schedule(millis(1, 30).plus(slow ? millis(100, 2000) : Duration.ZERO), () -> {
				if (simulation.logDown() || late) {
					appendAnswered(append, millis(100, 1500), new AppendResult.Unanswered());
					if (late) {
						schedule(millis(100, 20_000),
								() -> simulation.logs.get(slot.index()).append(records, simulation.now));
					}
					return;
				}
				AppendResult result = simulation.logs.get(slot.index()).append(records, simulation.now);
				appendAnswered(append, millis(1, 30), answerLost ? new AppendResult.Unanswered() : result);
			});
		}

		@Override
		public void dispatch(RequestId request, CallKey key, long intentOffset) {
			LedgerSimulation simulation = LedgerSimulation.this;
			if (fails("dispatch never sent", 0.03)) {
				dispatchEnded(request, new DispatchResult.NeverSent());
				return;
			}
			BodyDigest digest = submitted(request).request().digest();
			LoggedRecord intent = simulation.logs.get(KeySlot.of(key, simulation.settings.slots()).index())
				.get(intentOffset);
			Instant dispatchedAt = simulation.now;
			Instant claimedAt = claimedAt((LedgerRecord.Intent) intent.record());
			boolean neverReceived = fails("call lost on its way", 0.03);
			boolean answerLost = fails("endpoint answer lost", 0.05);
			schedule(millis(1, 800), () -> {
				StoredAnswer answer = new StoredAnswer(200, "text/plain",
						Body.copyOf(("run " + simulation.sequence++).getBytes(StandardCharsets.UTF_8)), true);
				if (!neverReceived) {
					simulation.oracle.ran(new LedgerOracle.Run(key, digest, request, this.self, intent.appendedAt(),
							claimedAt, dispatchedAt, answer));
				}
				boolean known = !neverReceived && !answerLost;
				dispatchEnded(request,
						known ? new DispatchResult.Completed(answer) : new DispatchResult.OutcomeUnknown());
			});
		}

		@Override
		public void answer(RequestId request, ClaimAnswer answer) {
			Submitted submission = submitted(request);
			LedgerSimulation.this.oracle.answered(this.self, submission.request(), submission.at(),
					LedgerSimulation.this.now, answer);
		}

		void checkTables() {
			for (int index = 0; index < LedgerSimulation.this.logs.size(); index++) {
				KeyTable table = this.system.table(new KeySlot(index));
				KeyTable expected = new KeyTable(LedgerSimulation.this.settings.answerWindow());
				int from = LedgerSimulation.this.resets.getOrDefault(index, 0);
				expected.emptied(from);
				LedgerSimulation.this.logs.get(index)
					.all()
					.subList(from, (int) table.nextOffset())
					.forEach((logged) -> expected.apply(logged.offset(), logged.record(), logged.appendedAt()));
				if (LedgerSimulation.this.answerWindows.size() == 1) {
					assertThat(live(table)).as("table %s of %s, %s", index, this.self, LedgerSimulation.this)
						.containsExactlyElementsOf(live(expected));
					assertThat(table.endedKeys()).as("digests %s of %s, %s", index, this.self, LedgerSimulation.this)
						.containsExactlyElementsOf(expected.endedKeys());
				}
				assertThat(running(table)).as("running %s of %s, %s", index, this.self, LedgerSimulation.this)
					.containsExactlyElementsOf(running(expected));
				assertThat(ended(table)).as("ended %s of %s, %s", index, this.self, LedgerSimulation.this)
					.containsExactlyInAnyOrderElementsOf(ended(expected));
				LedgerSimulation.this.oracle.count("digests kept", table.endedKeys().size());
			}
			assertThat(this.system.waitingRequests()).isZero();
			assertThat(this.system.canStop()).isTrue();
		}

		// A claim handed over by another process takes effect when it is read,
		// immediately before the dispatch.
		private Instant claimedAt(LedgerRecord.Intent intent) {
			Instant sent = Objects.requireNonNull(LedgerSimulation.this.sentAt.get(intent.id()));
			return intent.author().equals(this.self) ? sent : LedgerSimulation.this.now;
		}

		private Submitted submitted(RequestId request) {
			return Objects.requireNonNull(this.submitted.get(request));
		}

		private List<KeyState> live(KeyTable table) {
			return table.states().stream().filter((state) -> !state.expired(table.logTime())).toList();
		}

		private List<KeyState> running(KeyTable table) {
			return live(table).stream().filter((state) -> !state.ended()).toList();
		}

		// The state that must be equal in all processes regardless of their answer
		// windows.
		private List<EndedKey> ended(KeyTable table) {
			List<EndedKey> ended = new ArrayList<>(table.endedKeys());
			live(table).stream().filter(KeyState::ended).map(EndedKey::of).forEach(ended::add);
			return ended;
		}

		private void poll(KeySlot slot) {
			LedgerSimulation simulation = LedgerSimulation.this;
			Duration lag = fails("reader lags", 0.01) ? millis(200, 3000) : millis(5, 60);
			schedule(lag, () -> {
				if (!this.alive) {
					return;
				}
				if (simulation.logDown()) {
					poll(slot);
					return;
				}
				FakeLog.Read read = simulation.logs.get(slot.index()).read(this.system.table(slot).nextOffset(), 100);
				schedule(millis(1, 40), () -> post((process) -> {
					process.system.recordsRead(slot, read.firstRetained(), read.endOffset(), read.records());
					poll(slot);
				}));
			});
		}

		private void appendAnswered(AppendId append, Duration delay, AppendResult result) {
			schedule(delay, () -> post((process) -> process.system.appendAnswered(append, result)));
		}

		private void dispatchEnded(RequestId request, DispatchResult result) {
			schedule(millis(1, 50), () -> post((process) -> process.system.dispatchEnded(request, result)));
		}

		private record Submitted(ClaimRequest request, Instant at) {

		}

	}

}
