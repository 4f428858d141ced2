package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three planners of one data center over a fake stream of leases, a fake cloud and fake
 * engines, in virtual time. The same seed gives the same run.
 */
final class PlannerWorld {

	private static final Duration STEP = Duration.ofMillis(50);

	private static final int PLANNERS = 3;

	private static final int LARGEST_TARGET = 12;

	private static final double CHEAPEST_ON_DEMAND = 3.1;

	private static final DataCenterName DATA_CENTER = new DataCenterName("north1");

	private static final EngineState EMPTY = new EngineState(Set.of(), Set.of(), "");

	private static final PlannerSettings SETTINGS = new PlannerSettings(Duration.ofSeconds(5), Duration.ofSeconds(2),
			Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(2), 4, 2, 4);

	private final long seed;

	private final SplittableRandom random;

	private final List<Planner> planners = new ArrayList<>();

	private final List<Offer> offers = new ArrayList<>();

	private final List<Logged> leases = new ArrayList<>();

	private final Map<ClientToken, Vm> cloud = new LinkedHashMap<>();

	private final Map<ZoneName, Instant> refusedUntil = new HashMap<>();

	private final Map<Long, Incarnation> actors = new HashMap<>();

	private final Map<String, Integer> counts = new TreeMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparing(Event::at).thenComparingLong(Event::sequence));

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private Instant logDownUntil = this.now;

	private Instant loadsFrom = this.now;

	private double target = 8;

	private EngineState wanted = new EngineState(Set.of("score-model-0"), Set.of(), "serve");

	private long sequence;

	private boolean healed;

	PlannerWorld(long seed) {
		this.seed = seed;
		this.random = new SplittableRandom(seed);
		for (int zone = 1; zone <= 3; zone++) {
			ZoneName name = new ZoneName("zone-" + zone);
			this.offers.add(new Offer(name, new MachineClass("small"), true, 1 + 0.1 * zone, 1));
			this.offers.add(new Offer(name, new MachineClass("large"), true, 2.1 + 0.1 * zone, 2));
			this.offers.add(new Offer(name, new MachineClass("small"), false, 3 + 0.1 * zone, 1));
		}
		for (int index = 0; index < PLANNERS; index++) {
			this.planners.add(new Planner(index));
		}
	}

	Map<String, Integer> run(int steps) {
		for (int step = 0; step < steps; step++) {
			act();
			advance();
		}
		this.healed = true;
		this.logDownUntil = this.now;
		this.refusedUntil.clear();
		change();
		for (int step = 0; step < 3000; step++) {
			advance();
		}
		checkConverged();
		return this.counts;
	}

	@Override
	public String toString() {
		return "planner run: seed " + this.seed + ", " + this.counts;
	}

	private void act() {
		change();
		if (fails("death", 0.002)) {
			int index = this.random.nextInt(PLANNERS);
			this.planners.get(index).alive = false;
			this.planners.set(index, new Planner(index));
		}
		if (fails("pause", 0.004)) {
			any().pausedUntil = this.now.plus(millis(1000, 20_000));
		}
		if (fails("log outage", 0.001)) {
			this.logDownUntil = this.now.plus(millis(1000, 20_000));
		}
		if (fails("zone refuses starts", 0.004)) {
			this.refusedUntil.put(zone(), this.now.plus(millis(5000, 40_000)));
		}
		if (fails("zone reclaimed", 0.004)) {
			ZoneName zone = zone();
			this.cloud.values()
				.stream()
				.filter((vm) -> vm.kind.reclaimable() && vm.kind.zone().equals(zone))
				.forEach(this::end);
		}
	}

	// Operators and load change what is wanted; each planner hears of it in its own time.
	private void change() {
		if (fails("other target", 0.003)) {
			this.target = this.random.nextInt(2, LARGEST_TARGET + 1);
		}
		if (fails("other model version", 0.003)) {
			this.wanted = new EngineState(Set.of("score-model-" + this.sequence), Set.of(), "serve");
		}
		if (this.healed || this.random.nextDouble() < 0.01) {
			this.planners.forEach((planner) -> schedule(millis(10, 3000), planner::hear));
		}
	}

	private void advance() {
		this.now = this.now.plus(STEP);
		while (!this.events.isEmpty() && !this.events.peek().at().isAfter(this.now)) {
			this.events.remove().action().run();
		}
		this.planners.forEach(Planner::wake);
		account();
	}

	// A fixed fleet carries the largest target by the cheapest on-demand VMs.
	private void account() {
		Map<VmKind, Double> prices = this.offers.stream().collect(Collectors.toMap(Offer::kind, Offer::pricePerHour));
		double spent = liveVms().stream().mapToDouble((vm) -> prices.get(vm.kind)).sum();
		double capacity = this.offers.stream()
			.mapToDouble((offer) -> offer.capacity()
					* liveVms().stream().filter((vm) -> vm.kind.equals(offer.kind())).count())
			.sum();
		this.counts.merge("spent", (int) Math.round(10 * spent), Integer::sum);
		this.counts.merge("spent by a fixed fleet", (int) (10 * LARGEST_TARGET * CHEAPEST_ON_DEMAND), Integer::sum);
		count((capacity >= this.target) ? "steps at target" : "steps below target");
	}

	private void checkConverged() {
		List<Planner> holders = this.planners.stream().filter((planner) -> planner.system.fence().isPresent()).toList();
		assertThat(holders).as("holders, %s", this).hasSize(1);
		Map<VmKind, Integer> live = new HashMap<>();
		liveVms().forEach((vm) -> live.merge(vm.kind, 1, Integer::sum));
		assertThat(CapacityPlan.surviving(live, this.offers)).as("after a zone's loss, %s", this)
			.isGreaterThanOrEqualTo(this.target);
		assertThat(live).as("VMs, %s", this).isEqualTo(holders.getFirst().system.plan().counts());
		assertThat(liveVms()).as("engines, %s", this).allSatisfy((vm) -> assertThat(vm.state).isEqualTo(this.wanted));
		assertThat(holders.getFirst().system.enginesAsWanted()).isEqualTo(liveVms().size());
	}

	private List<Vm> liveVms() {
		return this.cloud.values().stream().filter((vm) -> !vm.ended).toList();
	}

	private void end(Vm vm) {
		if (!vm.ended) {
			vm.ended = true;
			count("vm ended");
		}
	}

	private Planner any() {
		return this.planners.get(this.random.nextInt(PLANNERS));
	}

	private ZoneName zone() {
		return this.offers.get(this.random.nextInt(this.offers.size())).zone();
	}

	private boolean fails(String kind, double probability) {
		if (this.healed || this.random.nextDouble() >= probability) {
			return false;
		}
		count("fault " + kind);
		return true;
	}

	private void count(String what) {
		this.counts.merge(what, 1, Integer::sum);
	}

	private Duration millis(int least, int most) {
		return Duration.ofMillis(this.random.nextInt(least, most));
	}

	private void schedule(Duration delay, Runnable action) {
		this.events.add(new Event(this.now.plus(delay), this.sequence++, action));
	}

	private boolean storeBusy() {
		Instant earliest = this.now.minusSeconds(3);
		this.loadsFrom = this.loadsFrom.isBefore(earliest) ? earliest : this.loadsFrom;
		if (this.loadsFrom.isAfter(this.now)) {
			return true;
		}
		this.loadsFrom = this.loadsFrom.plusMillis(400);
		return false;
	}

	private record Event(Instant at, long sequence, Runnable action) {

	}

	private record Logged(LeaseRecord record, Instant at) {

	}

	/** A VM with its engine; every other one ignores fencing numbers. */
	private static final class Vm {

		private final VmId id;

		private final VmKind kind;

		private final boolean checksFence;

		private long fence = -1;

		private EngineState state = EMPTY;

		private boolean ended;

		Vm(VmId id, VmKind kind, boolean checksFence) {
			this.id = id;
			this.kind = kind;
			this.checksFence = checksFence;
		}

	}

	/** One life of one planner process. */
	private final class Planner implements PlannerPort {

		private final Incarnation self;

		private final PlannerSystem system;

		private final List<Consumer<PlannerSystem>> inbox = new ArrayList<>();

		private Instant pausedUntil = PlannerWorld.this.now;

		private boolean alive = true;

		private int read;

		Planner(int index) {
			this.self = new Incarnation(new VmId("entry-" + index), PlannerWorld.this.random.nextLong());
			this.system = new PlannerSystem(this.self, DATA_CENTER, () -> PlannerWorld.this.now,
					PlannerWorld.this.random.split(), SETTINGS, this);
			this.system.want(PlannerWorld.this.target, PlannerWorld.this.wanted);
			this.system.offered(PlannerWorld.this.offers);
		}

		void hear() {
			double carried = PlannerWorld.this.target;
			EngineState held = PlannerWorld.this.wanted;
			this.inbox.add((target) -> target.want(carried, held));
		}

		void wake() {
			PlannerWorld world = PlannerWorld.this;
			if (!this.alive || world.now.isBefore(this.pausedUntil)) {
				return;
			}
			List<Consumer<PlannerSystem>> messages = List.copyOf(this.inbox);
			this.inbox.clear();
			// What a process has ready when it is woken goes out before it reads on.
			this.system.tick();
			messages.forEach((message) -> message.accept(this.system));
			while (!world.now.isBefore(world.logDownUntil) && this.read < world.leases.size()) {
				Logged logged = world.leases.get(this.read);
				this.system.leaseRead(this.read++, logged.record(), logged.at());
			}
		}

		@Override
		public void append(LeaseRecord record) {
			PlannerWorld world = PlannerWorld.this;
			boolean late = fails("lease append late", 0.03);
			schedule(millis(5, 100).plus(late ? millis(1000, 20_000) : Duration.ZERO), () -> {
				if (!world.now.isBefore(world.logDownUntil)) {
					world.leases.add(new Logged(record, world.now));
				}
			});
		}

		@Override
		public void list(long request) {
			schedule(millis(5, 50), () -> {
				List<CloudVm> found = PlannerWorld.this.cloud.entrySet()
					.stream()
					.map((entry) -> new CloudVm(entry.getValue().id, entry.getKey(), entry.getValue().kind,
							entry.getValue().ended))
					.toList();
				reply(fails("list slow", 0.05), (target) -> target.listed(request, found));
			});
		}

		@Override
		public void start(ClientToken token, VmKind kind) {
			acts();
			schedule(millis(5, 300), () -> {
				StartResult result = buy(token, kind);
				boolean lost = fails("start answer lost", 0.1);
				reply(false, (target) -> target.startAnswered(token, lost ? new StartResult.Unanswered() : result));
			});
		}

		@Override
		public void stop(VmId vm) {
			acts();
			if (!fails("stop lost", 0.1)) {
				schedule(millis(5, 300), () -> with(vm, PlannerWorld.this::end));
			}
		}

		@Override
		public void order(VmId vm, long fence, EngineState state) {
			acts();
			boolean late = fails("order late", 0.05);
			schedule(millis(5, 100).plus(late ? millis(500, 5000) : Duration.ZERO), () -> with(vm, (engine) -> {
				if (engine.checksFence && fence < engine.fence) {
					count("order fenced");
					reply(false, (target) -> target.orderAnswered(vm, new OrderResult.Fenced()));
				}
				else if (state.loadsFrom(engine.state) > 0 && storeBusy()) {
					count("weight store busy");
					reply(false,
							(target) -> target.orderAnswered(vm, new OrderResult.StoreBusy(Duration.ofMillis(500))));
				}
				else {
					engine.fence = Math.max(fence, engine.fence);
					engine.state = state;
					count("order taken");
				}
			}));
		}

		@Override
		public void readBack(VmId vm) {
			schedule(millis(5, 50), () -> with(vm, (engine) -> {
				EngineState state = engine.state;
				reply(fails("read-back slow", 0.02),
						(target) -> target.orderAnswered(vm, new OrderResult.ReadBack(state)));
			}));
		}

		private StartResult buy(ClientToken token, VmKind kind) {
			PlannerWorld world = PlannerWorld.this;
			if (world.cloud.containsKey(token)) {
				return new StartResult.Started(world.cloud.get(token).id);
			}
			Instant refused = world.refusedUntil.getOrDefault(kind.zone(), Instant.MIN);
			if (world.now.isBefore(refused)) {
				count("start refused");
				return new StartResult.Refused(Duration.ofMillis(500));
			}
			Vm vm = new Vm(new VmId("vm-" + world.cloud.size()), kind, world.cloud.size() % 2 == 0);
			world.cloud.put(token, vm);
			count("vm bought");
			assertThat(liveVms()).as("live VMs, %s", world).hasSizeLessThan(60);
			return new StartResult.Started(vm.id);
		}

		private void acts() {
			long fence = this.system.fence().orElseThrow();
			assertThat(PlannerWorld.this.actors.putIfAbsent(fence, this.self)).as("actor under fence %s", fence)
				.isIn(null, this.self);
		}

		private void with(VmId id, Consumer<Vm> action) {
			liveVms().stream().filter((vm) -> vm.id.equals(id)).findFirst().ifPresent(action);
		}

		private void reply(boolean slow, Consumer<PlannerSystem> message) {
			schedule(slow ? millis(500, 8000) : millis(5, 50), () -> this.inbox.add(message));
		}

	}

}
