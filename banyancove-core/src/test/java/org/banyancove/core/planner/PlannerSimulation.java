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
 * A simulation of three planners of one data center with a stream of leases, a cloud and
 * engines, in virtual time. A run is determined by its seed.
 */
final class PlannerSimulation {

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

	private Instant storeAvailableAt = this.now;

	private double target = 8;

	private EngineState desiredState = new EngineState(Set.of("score-model-0"), Set.of(), "serve");

	private long sequence;

	private boolean faultsEnded;

	PlannerSimulation(long seed) {
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
			injectFaults();
			advance();
		}
		this.faultsEnded = true;
		this.logDownUntil = this.now;
		this.refusedUntil.clear();
		changeDesiredState();
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

	private void injectFaults() {
		changeDesiredState();
		if (injectFault("death", 0.002)) {
			int index = this.random.nextInt(PLANNERS);
			this.planners.get(index).alive = false;
			this.planners.set(index, new Planner(index));
		}
		if (injectFault("pause", 0.004)) {
			randomPlanner().pausedUntil = this.now.plus(millis(1000, 20_000));
		}
		if (injectFault("log outage", 0.001)) {
			this.logDownUntil = this.now.plus(millis(1000, 20_000));
		}
		if (injectFault("zone refuses starts", 0.004)) {
			this.refusedUntil.put(randomZone(), this.now.plus(millis(5000, 40_000)));
		}
		if (injectFault("zone reclaimed", 0.004)) {
			ZoneName zone = randomZone();
			this.cloud.values()
				.stream()
				.filter((vm) -> vm.kind.reclaimable() && vm.kind.zone().equals(zone))
				.forEach(this::endVm);
		}
	}

	// Operators and load determine the desired state, which reaches each planner after a
	// random delay.
	private void changeDesiredState() {
		if (injectFault("other target", 0.003)) {
			this.target = this.random.nextInt(2, LARGEST_TARGET + 1);
		}
		if (injectFault("other model version", 0.003)) {
			this.desiredState = new EngineState(Set.of("score-model-" + this.sequence), Set.of(), "serve");
		}
		if (this.faultsEnded || this.random.nextDouble() < 0.01) {
			this.planners.forEach((planner) -> schedule(millis(10, 3000), planner::receiveDesiredState));
		}
	}

	private void advance() {
		this.now = this.now.plus(STEP);
		while (!this.events.isEmpty() && !this.events.peek().at().isAfter(this.now)) {
			this.events.remove().action().run();
		}
		this.planners.forEach(Planner::step);
		recordCosts();
	}

	// A fixed fleet provides the largest target with the cheapest on-demand VMs.
	private void recordCosts() {
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
		assertThat(CapacityPlan.surviving(live, this.offers)).as("capacity after the loss of a zone, %s", this)
			.isGreaterThanOrEqualTo(this.target);
		assertThat(live).as("VMs, %s", this).isEqualTo(holders.getFirst().system.plan().counts());
		assertThat(liveVms()).as("engines, %s", this)
			.allSatisfy((vm) -> assertThat(vm.state).isEqualTo(this.desiredState));
		assertThat(holders.getFirst().system.enginesInDesiredState()).isEqualTo(liveVms().size());
	}

	private List<Vm> liveVms() {
		return this.cloud.values().stream().filter((vm) -> !vm.ended).toList();
	}

	private void endVm(Vm vm) {
		if (!vm.ended) {
			vm.ended = true;
			count("vm ended");
		}
	}

	private Planner randomPlanner() {
		return this.planners.get(this.random.nextInt(PLANNERS));
	}

	private ZoneName randomZone() {
		return this.offers.get(this.random.nextInt(this.offers.size())).zone();
	}

	private boolean injectFault(String kind, double probability) {
		if (this.faultsEnded || this.random.nextDouble() >= probability) {
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
		this.storeAvailableAt = this.storeAvailableAt.isBefore(earliest) ? earliest : this.storeAvailableAt;
		if (this.storeAvailableAt.isAfter(this.now)) {
			return true;
		}
		this.storeAvailableAt = this.storeAvailableAt.plusMillis(400);
		return false;
	}

	private record Event(Instant at, long sequence, Runnable action) {

	}

	private record Logged(LeaseRecord record, Instant at) {

	}

	/** A VM with its engine; every second one ignores fencing numbers. */
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

	/** One incarnation of a planner process. */
	private final class Planner implements PlannerPort {

		private final Incarnation self;

		private final PlannerSystem system;

		private final List<Consumer<PlannerSystem>> inbox = new ArrayList<>();

		private Instant pausedUntil = PlannerSimulation.this.now;

		private boolean alive = true;

		private int nextOffset;

		Planner(int index) {
			this.self = new Incarnation(new VmId("entry-" + index), PlannerSimulation.this.random.nextLong());
			this.system = new PlannerSystem(this.self, DATA_CENTER, () -> PlannerSimulation.this.now,
					PlannerSimulation.this.random.split(), SETTINGS, this);
			this.system.setDesiredState(PlannerSimulation.this.target, PlannerSimulation.this.desiredState);
			this.system.setOffers(PlannerSimulation.this.offers);
		}

		void receiveDesiredState() {
			double newTarget = PlannerSimulation.this.target;
			EngineState newState = PlannerSimulation.this.desiredState;
			this.inbox.add((target) -> target.setDesiredState(newTarget, newState));
		}

		void step() {
			PlannerSimulation simulation = PlannerSimulation.this;
			if (!this.alive || simulation.now.isBefore(this.pausedUntil)) {
				return;
			}
			List<Consumer<PlannerSystem>> messages = List.copyOf(this.inbox);
			this.inbox.clear();
			// A resumed process sends its pending commands before it reads the log.
			this.system.tick();
			messages.forEach((message) -> message.accept(this.system));
			while (!simulation.now.isBefore(simulation.logDownUntil) && this.nextOffset < simulation.leases.size()) {
				Logged logged = simulation.leases.get(this.nextOffset);
				this.system.applyLeaseRecord(this.nextOffset++, logged.record(), logged.at());
			}
		}

		@Override
		public void append(LeaseRecord record) {
			PlannerSimulation simulation = PlannerSimulation.this;
			boolean late = injectFault("lease append late", 0.03);
			schedule(millis(5, 100).plus(late ? millis(1000, 20_000) : Duration.ZERO), () -> {
				if (!simulation.now.isBefore(simulation.logDownUntil)) {
					simulation.leases.add(new Logged(record, simulation.now));
				}
			});
		}

		@Override
		public void list(long request) {
			schedule(millis(5, 50), () -> {
				List<CloudVm> found = PlannerSimulation.this.cloud.entrySet()
					.stream()
					.map((entry) -> new CloudVm(entry.getValue().id, entry.getKey(), entry.getValue().kind,
							entry.getValue().ended))
					.toList();
				reply(injectFault("list slow", 0.05), (target) -> target.applyList(request, found));
			});
		}

		@Override
		public void start(ClientToken token, VmKind kind) {
			recordActor();
			schedule(millis(5, 300), () -> {
				StartResult result = startVm(token, kind);
				boolean lost = injectFault("start answer lost", 0.1);
				reply(false, (target) -> target.startAnswered(token, lost ? new StartResult.Unanswered() : result));
			});
		}

		@Override
		public void stop(VmId vm) {
			recordActor();
			if (!injectFault("stop lost", 0.1)) {
				schedule(millis(5, 300), () -> withVm(vm, PlannerSimulation.this::endVm));
			}
		}

		@Override
		public void order(VmId vm, long fence, EngineState state) {
			recordActor();
			boolean late = injectFault("order late", 0.05);
			schedule(millis(5, 100).plus(late ? millis(500, 5000) : Duration.ZERO), () -> withVm(vm, (engine) -> {
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
					count("order applied");
				}
			}));
		}

		@Override
		public void readBack(VmId vm) {
			schedule(millis(5, 50), () -> withVm(vm, (engine) -> {
				EngineState state = engine.state;
				reply(injectFault("read-back slow", 0.02),
						(target) -> target.orderAnswered(vm, new OrderResult.ReadBack(state)));
			}));
		}

		private StartResult startVm(ClientToken token, VmKind kind) {
			PlannerSimulation simulation = PlannerSimulation.this;
			if (simulation.cloud.containsKey(token)) {
				return new StartResult.Started(simulation.cloud.get(token).id);
			}
			Instant refused = simulation.refusedUntil.getOrDefault(kind.zone(), Instant.MIN);
			if (simulation.now.isBefore(refused)) {
				count("start refused");
				return new StartResult.Refused(Duration.ofMillis(500));
			}
			Vm vm = new Vm(new VmId("vm-" + simulation.cloud.size()), kind, simulation.cloud.size() % 2 == 0);
			simulation.cloud.put(token, vm);
			count("vm started");
			assertThat(liveVms()).as("live VMs, %s", simulation).hasSizeLessThan(60);
			return new StartResult.Started(vm.id);
		}

		private void recordActor() {
			long fence = this.system.fence().orElseThrow();
			assertThat(PlannerSimulation.this.actors.putIfAbsent(fence, this.self)).as("actor under fence %s", fence)
				.isIn(null, this.self);
		}

		private void withVm(VmId id, Consumer<Vm> action) {
			liveVms().stream().filter((vm) -> vm.id.equals(id)).findFirst().ifPresent(action);
		}

		private void reply(boolean slow, Consumer<PlannerSystem> message) {
			schedule(slow ? millis(500, 8000) : millis(5, 50), () -> this.inbox.add(message));
		}

	}

}
