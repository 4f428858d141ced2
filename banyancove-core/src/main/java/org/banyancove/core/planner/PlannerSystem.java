package org.banyancove.core.planner;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.Invariant;
import org.banyancove.core.VmId;

/**
 * Reconciles the capacity and the engines of one data center while it holds the lease:
 * starts and stops VMs and orders engines to their desired state.
 * <p>
 * Reconciliation is level-triggered: each tick compares the desired state with the state
 * last listed or read back, so that the next round corrects the effects of a lost answer,
 * a failed planner or a paused former holder. Used by one thread.
 */
public final class PlannerSystem {

	private final DataCenterName dataCenter;

	private final InstantSource clock;

	private final PlannerSettings settings;

	private final PlannerPort port;

	private final LeaseElector elector;

	private final StartBackoff backoff;

	private final LoadRateLimiter loadLimiter;

	private final OrderTable orders;

	private final Map<ClientToken, PendingStart> pendingStarts = new LinkedHashMap<>();

	private final Map<VmId, Instant> stopRequests = new HashMap<>();

	private List<CloudVm> vms = List.of();

	private List<Offer> offers = List.of();

	private double target;

	private EngineState desiredState = new EngineState(Set.of(), Set.of(), "");

	private long fence = -1;

	private boolean listed;

	private boolean planDue;

	private long nextRequest;

	private long minimumRequest;

	private Instant listNotBefore = Instant.MIN;

	private long nextSequence;

	/**
	 * Creates the system.
	 * @param self this process
	 * @param dataCenter the data center to plan for
	 * @param clock the clock
	 * @param random the random generator for jitter
	 * @param settings the settings
	 * @param port executes the commands
	 */
	public PlannerSystem(Incarnation self, DataCenterName dataCenter, InstantSource clock, RandomGenerator random,
			PlannerSettings settings, PlannerPort port) {
		this.dataCenter = dataCenter;
		this.clock = clock;
		this.settings = settings;
		this.port = port;
		this.elector = new LeaseElector(self, dataCenter, clock, random, settings.lease(), port::append);
		this.backoff = new StartBackoff(settings.refusedStart(), random);
		this.loadLimiter = new LoadRateLimiter(settings.loadsPerSecond(), settings.loadBurst(), clock.instant());
		this.orders = new OrderTable(settings.orderInterval());
	}

	/**
	 * Sets the desired state.
	 * @param target the capacity required after the loss of the largest zone
	 * @param desiredState the desired state of each engine
	 */
	public void setDesiredState(double target, EngineState desiredState) {
		this.target = target;
		this.desiredState = desiredState;
		this.planDue = true;
	}

	/**
	 * Sets the cloud's offers.
	 * @param offers the offers
	 */
	public void setOffers(Collection<Offer> offers) {
		this.offers = List.copyOf(offers);
		this.planDue = true;
	}

	/**
	 * Applies a record that was read from the stream of leases.
	 * @param offset the record's offset
	 * @param record the record
	 * @param appendedAt the log's time of the append
	 */
	public void applyLeaseRecord(long offset, LeaseRecord record, Instant appendedAt) {
		this.elector.applyRecord(offset, record, appendedAt);
	}

	/**
	 * Applies the answer to {@link PlannerPort#list}. An answer that arrives after the
	 * answer to a later request, or that was requested under an earlier lease, is
	 * ignored.
	 * @param request the request's number
	 * @param found all VMs whose tokens have the data center's prefix
	 */
	public void applyList(long request, List<CloudVm> found) {
		if (request < this.minimumRequest) {
			return;
		}
		this.minimumRequest = request + 1;
		this.vms = found.stream().filter((vm) -> vm.token().isOf(this.dataCenter)).toList();
		this.listed = true;
		this.planDue = true;
		this.vms.forEach((vm) -> this.pendingStarts.remove(vm.token()));
		this.pendingStarts.values()
			.removeIf((pendingStart) -> pendingStart.started && pendingStart.startedBefore <= request);
		Set<VmId> live = live().stream().map(CloudVm::id).collect(Collectors.toCollection(LinkedHashSet::new));
		this.orders.retain(live);
		this.stopRequests.keySet().retainAll(live);
	}

	/**
	 * Applies the answer to a start.
	 * @param token the client token of the start
	 * @param result the result
	 */
	public void startAnswered(ClientToken token, StartResult result) {
		PendingStart pendingStart = this.pendingStarts.get(token);
		if (pendingStart == null) {
			return;
		}
		Instant now = this.clock.instant();
		switch (result) {
			case StartResult.Started _ -> {
				pendingStart.started = true;
				pendingStart.startedBefore = this.nextRequest;
				this.backoff.recordSuccess(pendingStart.kind);
			}
			case StartResult.Refused refused -> {
				this.backoff.recordRefusal(pendingStart.kind, now, refused.retryAfter());
				this.pendingStarts.remove(token);
				this.planDue = true;
			}
			case StartResult.Unanswered _ -> pendingStart.retryAt = now.plus(this.settings.callTimeout());
		}
	}

	/**
	 * Applies the result of an order or of reading an engine's state back.
	 * @param vm the engine's VM
	 * @param result the result
	 */
	public void orderAnswered(VmId vm, OrderResult result) {
		switch (result) {
			case OrderResult.ReadBack readBack -> this.orders.updateState(vm, readBack.state());
			case OrderResult.StoreBusy busy -> this.loadLimiter.pause(this.clock.instant(), busy.retryAfter());
			case OrderResult.Fenced _, OrderResult.Unanswered _ -> {
			}
		}
	}

	/**
	 * Renews the lease and sends the commands that are due.
	 */
	public void tick() {
		this.elector.tick();
		OptionalLong currentFence = this.elector.fence();
		if (currentFence.isEmpty()) {
			return;
		}
		if (currentFence.getAsLong() != this.fence) {
			startTerm(currentFence.getAsLong());
		}
		Instant now = this.clock.instant();
		requestList(now);
		if (!this.listed) {
			return;
		}
		retryUnanswered(now);
		if (this.planDue) {
			this.planDue = false;
			Map<VmKind, Integer> planned = plan().counts();
			startMissing(planned, now);
			stopExcess(planned, now);
		}
		this.orders.tick(now, this.fence, this.desiredState, this.loadLimiter, this.port);
	}

	/**
	 * Resigns the lease, on shutdown.
	 */
	public void resign() {
		this.elector.resign();
	}

	/**
	 * Returns the fencing number under which the system acts.
	 * @return the fencing number, empty while it must not act
	 */
	public OptionalLong fence() {
		return this.elector.fence();
	}

	/**
	 * Returns the plan for the current target, offers and refused starts.
	 * @return the plan
	 */
	public CapacityPlan plan() {
		Map<VmKind, Integer> limits = new HashMap<>();
		Map<VmKind, Integer> running = counts(live());
		this.backoff.kindsInBackoff(this.clock.instant())
			.forEach((kind) -> limits.put(kind, running.getOrDefault(kind, 0)));
		return CapacityPlan.cheapest(this.target, this.offers, limits);
	}

	/**
	 * Returns the number of engines whose last state read back is the desired one.
	 * @return the number of engines
	 */
	public int enginesInDesiredState() {
		return this.orders.countMatching(this.desiredState);
	}

	/**
	 * Returns the running VMs as last listed under the own lease.
	 * @return the number of VMs of each kind
	 */
	public Map<VmKind, Integer> running() {
		return counts(live());
	}

	/**
	 * Returns the capacity of the running VMs that would remain after the loss of the
	 * largest zone.
	 * @return the capacity, in the unit of the target
	 */
	public double surviving() {
		return CapacityPlan.surviving(running(), this.offers);
	}

	/**
	 * Returns the price per hour of the running VMs.
	 * @return the price, in the cloud's currency; kinds that are no longer offered count
	 * as zero
	 */
	public double pricePerHour() {
		Map<VmKind, Integer> running = running();
		return this.offers.stream()
			.mapToDouble((offer) -> running.getOrDefault(offer.kind(), 0) * offer.pricePerHour())
			.sum();
	}

	// The actions of an earlier holder are visible only in a new list: acting on an old
	// one would start VMs that it has already started.
	private void startTerm(long currentFence) {
		Invariant.check(currentFence > this.fence, "fencing number of %s decreased from %s to %s", this.dataCenter,
				this.fence, currentFence);
		this.fence = currentFence;
		this.nextSequence = 0;
		this.pendingStarts.clear();
		this.orders.clear();
		this.listed = false;
		this.minimumRequest = this.nextRequest;
		this.listNotBefore = Instant.MIN;
	}

	private void requestList(Instant now) {
		if (!now.isBefore(this.listNotBefore)) {
			this.listNotBefore = now.plus(this.settings.listInterval());
			this.port.list(this.nextRequest++);
		}
	}

	private void startMissing(Map<VmKind, Integer> planned, Instant now) {
		Map<VmKind, Integer> running = counts(live());
		this.pendingStarts.values().forEach((pendingStart) -> running.merge(pendingStart.kind, 1, Integer::sum));
		for (Map.Entry<VmKind, Integer> entry : planned.entrySet()) {
			int missing = entry.getValue() - running.getOrDefault(entry.getKey(), 0);
			for (int count = 0; count < missing && startsInFlight() < this.settings.startsInFlight(); count++) {
				start(entry.getKey(), now);
			}
		}
	}

	private void start(VmKind kind, Instant now) {
		ClientToken token = ClientToken.of(this.dataCenter, this.fence, this.nextSequence++);
		this.pendingStarts.put(token, new PendingStart(kind, now.plus(this.settings.callTimeout())));
		this.port.start(token, kind);
	}

	// Retries use the same token: the cloud returns the VM of the first call if there is
	// one, so a lost answer does not start a second VM.
	private void retryUnanswered(Instant now) {
		this.pendingStarts.forEach((token, pendingStart) -> {
			if (!pendingStart.started && !now.isBefore(pendingStart.retryAt)) {
				pendingStart.retryAt = now.plus(this.settings.callTimeout());
				this.port.start(token, pendingStart.kind);
			}
		});
	}

	private int startsInFlight() {
		return (int) this.pendingStarts.values().stream().filter((pendingStart) -> !pendingStart.started).count();
	}

	// Stops the most expensive VM first, and only if the target is met without it and
	// without all VMs that are being stopped but are still listed.
	private void stopExcess(Map<VmKind, Integer> planned, Instant now) {
		List<CloudVm> removable = new ArrayList<>(live());
		removable.removeIf((vm) -> this.stopRequests.containsKey(vm.id()));
		Map<VmKind, Integer> remaining = counts(removable);
		removable.removeIf((vm) -> remaining.getOrDefault(vm.kind(), 0) <= planned.getOrDefault(vm.kind(), 0));
		for (CloudVm vm : mostExpensiveFirst(removable)) {
			if (remaining.getOrDefault(vm.kind(), 0) <= planned.getOrDefault(vm.kind(), 0)) {
				continue;
			}
			remaining.merge(vm.kind(), -1, Integer::sum);
			if (CapacityPlan.surviving(remaining, this.offers) >= this.target) {
				this.stopRequests.put(vm.id(), now);
				this.port.stop(vm.id());
			}
			else {
				remaining.merge(vm.kind(), 1, Integer::sum);
			}
		}
		this.stopRequests.values()
			.removeIf((stopRequestedAt) -> !now
				.isBefore(stopRequestedAt.plus(this.settings.callTimeout().multipliedBy(2))));
	}

	private List<CloudVm> mostExpensiveFirst(List<CloudVm> candidates) {
		Map<VmKind, Double> prices = this.offers.stream()
			.collect(Collectors.toMap(Offer::kind, Offer::unitPrice, Math::min));
		Comparator<CloudVm> byPrice = Comparator.comparing((vm) -> prices.getOrDefault(vm.kind(), Double.MAX_VALUE));
		return candidates.stream().sorted(byPrice.reversed()).toList();
	}

	private List<CloudVm> live() {
		return this.vms.stream().filter((vm) -> !vm.leaving()).toList();
	}

	private static Map<VmKind, Integer> counts(List<CloudVm> countedVms) {
		Map<VmKind, Integer> counts = new HashMap<>();
		countedVms.forEach((vm) -> counts.merge(vm.kind(), 1, Integer::sum));
		return counts;
	}

	/** A VM whose start was requested and that is not listed yet. */
	private static final class PendingStart {

		private final VmKind kind;

		private Instant retryAt;

		private boolean started;

		private long startedBefore;

		PendingStart(VmKind kind, Instant retryAt) {
			this.kind = kind;
			this.retryAt = retryAt;
		}

	}

}
