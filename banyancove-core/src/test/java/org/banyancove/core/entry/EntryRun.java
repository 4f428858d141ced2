package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * A simulation of complete entries in three data centers, with fakes of the log, the
 * network, engines and plain services, and with faults of every kind at random times.
 */
final class EntryRun {

	static final ServiceName PLANNING = new ServiceName("planning");

	static final ServiceName ORDERS = new ServiceName("orders");

	static final AccountName ACCOUNT = new AccountName("pens");

	private static final Duration STEP = Duration.ofMillis(10);

	private final RandomGenerator random;

	private final PriorityQueue<Timed> queue = new PriorityQueue<>();

	private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);

	final FakePlatform platform;

	final FakeEndpoints endpoints;

	final List<FakeEntry> entries = new ArrayList<>();

	final List<FakeCaller> callers = new ArrayList<>();

	private final Map<String, Instant> partitionedUntil = new HashMap<>();

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private long sequence;

	private int incarnations;

	EntryRun(long seed) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.platform = new FakePlatform(this);
		this.endpoints = new FakeEndpoints(this);
		for (int dataCenter = 0; dataCenter < 3; dataCenter++) {
			this.entries.add(new FakeEntry(this, dataCenter * 2));
			this.entries.add(new FakeEntry(this, dataCenter * 2 + 1));
		}
	}

	Instant now() {
		return this.now;
	}

	RandomGenerator random() {
		return this.random;
	}

	int nextIncarnation() {
		return ++this.incarnations;
	}

	void after(Duration delay, Runnable action) {
		this.queue.add(new Timed(this.now.plus(delay), this.sequence++, action));
	}

	void after(int atLeastMillis, int atMostMillis, Runnable action) {
		after(Duration.ofMillis(this.random.nextInt(atLeastMillis, atMostMillis + 1)), action);
	}

	boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	// Runs callers and faults for the given duration, then ends all faults and
	// waits for the remaining calls.
	void run(Duration active, double faultsPerSecond) {
		Instant end = this.now.plus(active);
		scheduleCall(end);
		scheduleFault(end, faultsPerSecond);
		advance(active);
		endFaults();
		advance(Duration.ofSeconds(150));
	}

	void advance(Duration duration) {
		Instant end = this.now.plus(duration);
		while (!this.queue.isEmpty() && !this.queue.peek().at.isAfter(end)) {
			Timed next = this.queue.remove();
			this.now = next.at;
			next.action.run();
		}
		this.now = end;
	}

	boolean isPartitioned(FakeEntry first, FakeEntry second) {
		String pair = Math.min(first.dataCenter(), second.dataCenter()) + "-"
				+ Math.max(first.dataCenter(), second.dataCenter());
		return this.partitionedUntil.getOrDefault(pair, Instant.MIN).isAfter(this.now);
	}

	FakeEntry anyEntry() {
		List<FakeEntry> alive = this.entries.stream().filter(FakeEntry::isReachable).toList();
		return alive.isEmpty() ? this.entries.getFirst() : alive.get(this.random.nextInt(alive.size()));
	}

	@Nullable FakeEntry entryAt(String address) {
		return this.entries.stream().filter((entry) -> entry.address().equals(address)).findFirst().orElse(null);
	}

	int count(FaultKind kind) {
		return this.faults.getOrDefault(kind, 0);
	}

	String summary() {
		long complete = this.callers.stream().filter(FakeCaller::isComplete).count();
		long failed = this.callers.stream().filter(FakeCaller::isFailed).count();
		long open = this.callers.size() - complete - failed;
		return "calls %d, whole %d, failed %d %s, open %d, keys run %d, faults %s".formatted(this.callers.size(),
				complete, failed, failures(), open, this.endpoints.keysRun(), this.faults);
	}

	private Map<String, Integer> failures() {
		Map<String, Integer> kinds = new HashMap<>();
		this.callers.stream()
			.filter(FakeCaller::isFailed)
			.forEach((caller) -> kinds.merge(caller.failure().code(), 1, Integer::sum));
		return kinds;
	}

	private void scheduleCall(Instant end) {
		if (this.now.isAfter(end)) {
			return;
		}
		RequestId id = new RequestId("call-" + this.callers.size());
		FakeCaller caller = chance(0.5) ? FakeCaller.plan(this, id) : FakeCaller.booking(this, id);
		this.callers.add(caller);
		caller.start();
		after(10, 120, () -> scheduleCall(end));
	}

	private void scheduleFault(Instant end, double perSecond) {
		if (this.now.isAfter(end) || perSecond <= 0) {
			return;
		}
		FaultKind kind = FaultKind.values()[this.random.nextInt(FaultKind.values().length)];
		this.faults.merge(kind, 1, Integer::sum);
		inject(kind);
		int mean = (int) (1000 / perSecond);
		after(mean / 2, mean * 3 / 2, () -> scheduleFault(end, perSecond));
	}

	private void inject(FaultKind kind) {
		FakeEntry entry = this.entries.get(this.random.nextInt(this.entries.size()));
		switch (kind) {
			case ENTRY_KILLED -> entry.kill();
			case ENTRY_PAUSED -> entry.pause(Duration.ofSeconds(this.random.nextInt(1, 12)));
			case ENTRY_RECLAIMED -> entry.reclaim();
			case DATA_CENTER_RECLAIMED -> this.entries.stream()
				.filter((each) -> each.dataCenter() == entry.dataCenter())
				.forEach(FakeEntry::reclaim);
			case DATA_CENTERS_CUT -> {
				int first = this.random.nextInt(2);
				int second = this.random.nextInt(first + 1, 3);
				this.partitionedUntil.put(first + "-" + second, this.now.plusSeconds(this.random.nextInt(1, 15)));
			}
			case ENDPOINT_RECLAIMED -> this.endpoints.reclaim();
			case ENDPOINT_CRASHED -> this.endpoints.crash();
			case CONNECTIONS_SILENT -> this.endpoints.silence();
			case PIECES_SCRAMBLED -> this.endpoints.scramble();
			case SERVICE_ANSWERS_LOST -> this.endpoints.loseAnswers();
			case LOG_DOWN -> this.platform.down(Duration.ofSeconds(this.random.nextInt(1, 8)));
			case APPEND_ANSWERS_LOST -> this.platform.loseAnswers();
			case APPENDS_LATE -> this.platform.delayAppends();
			case PROFILE_CHANGED -> this.platform.changeProfile();
		}
	}

	private void endFaults() {
		this.partitionedUntil.clear();
		this.platform.endFaults();
		this.endpoints.endFaults();
	}

	static DataCenterName dataCenter(int index) {
		return new DataCenterName("dc-" + index);
	}

	static ZoneName zone(int dataCenter) {
		return new ZoneName("zone-" + dataCenter);
	}

	static VmId vm(String name) {
		return new VmId(name);
	}

	static Duration step() {
		return STEP;
	}

	/**
	 * The kinds of injected faults.
	 */
	enum FaultKind {

		ENTRY_KILLED, ENTRY_PAUSED, ENTRY_RECLAIMED, DATA_CENTER_RECLAIMED, DATA_CENTERS_CUT, ENDPOINT_RECLAIMED,
		ENDPOINT_CRASHED, CONNECTIONS_SILENT, PIECES_SCRAMBLED, SERVICE_ANSWERS_LOST, LOG_DOWN, APPEND_ANSWERS_LOST,
		APPENDS_LATE, PROFILE_CHANGED

	}

	private record Timed(Instant at, long sequence, Runnable action) implements Comparable<Timed> {

		@Override
		public int compareTo(Timed other) {
			int byTime = this.at.compareTo(other.at);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
