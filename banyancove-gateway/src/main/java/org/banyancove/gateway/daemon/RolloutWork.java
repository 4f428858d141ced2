package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutController;
import org.banyancove.gateway.rollout.RolloutController.VersionCounts;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.rollout.RolloutStage;
import org.banyancove.gateway.rollout.RolloutTable;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out rollouts while the lease is held.
 * <p>
 * A decision that ends a rollout takes effect only once it stands in the lease's record,
 * so that the next holder cannot decide otherwise.
 */
final class RolloutWork {

	private static final Logger log = LoggerFactory.getLogger(RolloutWork.class);

	/**
	 * From the decision to complete a rollout until it is announced, at which the
	 * baseline's endpoints stop: all gateways follow the decision by then.
	 */
	private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(300);

	/** Revisions of one holder; the next one's fence is higher. */
	private static final long REVISIONS_OF_HOLDER = 1_000_000;

	private final RolloutTable table;

	private final RolloutController controller;

	private final RolloutStatus status;

	private final Supplier<FleetView> fleet;

	private final EndpointTable endpoints;

	private final InstantSource wallClock;

	private final Map<ServiceName, Rollout> decided = new HashMap<>();

	private final Map<Long, Long> persistedAt = new HashMap<>();

	private List<Rollout> persisted = List.of();

	private long fence;

	private long revision;

	RolloutWork(RolloutTable table, RolloutController controller, RolloutStatus status, Supplier<FleetView> fleet,
			EndpointTable endpoints, InstantSource wallClock) {
		this.table = table;
		this.controller = controller;
		this.status = status;
		this.fleet = fleet;
		this.endpoints = endpoints;
		this.wallClock = wallClock;
	}

	/**
	 * Decides the next steps.
	 * @param heldFence the fence of the lease
	 * @param named the rollouts that the lease's record names
	 * @param now the present time, on the steady clock
	 */
	void tick(long heldFence, List<Rollout> named, long now) {
		if (heldFence != this.fence) {
			this.fence = heldFence;
			this.revision = heldFence * REVISIONS_OF_HOLDER;
			this.decided.clear();
			this.persistedAt.clear();
		}
		this.persisted = named;
		this.table.decided(named.stream().filter((rollout) -> rollout.stage().settled()).toList(), now);
		for (RolloutOrder order : this.table.orders()) {
			decide(order);
		}
		for (Rollout rollout : List.copyOf(this.decided.values())) {
			publish(rollout, now);
		}
	}

	private void decide(RolloutOrder order) {
		Rollout known = newest(order);
		if (known == null) {
			Instant now = this.wallClock.instant().truncatedTo(ChronoUnit.MILLIS);
			known = new Rollout(order, baseline(order), now, 0, RolloutStage.InProgress.NO_TRAFFIC);
			log.atInfo()
				.addKeyValue("service", order.service())
				.addKeyValue("baseline", known.baseline())
				.addKeyValue("candidate", order.candidate())
				.log("rollout started");
		}
		if (known.stage().settled()) {
			this.decided.put(order.service(), known);
			return;
		}
		RolloutReport all = this.fleet.get().rollouts().plus(this.table.report());
		RolloutController.Step step = this.controller.next(known, all, counts(order), this.wallClock.instant());
		this.revision++;
		this.decided.put(order.service(), known.with(this.revision, step.stage()));
		if (!step.stage().equals(known.stage())) {
			log.atInfo()
				.addKeyValue("service", order.service())
				.addKeyValue("candidate", order.candidate())
				.addKeyValue("stage", step.stage())
				.addKeyValue("verdict", step.verdict())
				.addKeyValue("samples", all.samples())
				.log("rollout advanced");
		}
	}

	private @Nullable Rollout newest(RolloutOrder order) {
		Rollout newest = this.decided.get(order.service());
		for (Rollout rollout : this.persisted) {
			if (rollout.order().service().equals(order.service())) {
				newest = (newest != null) ? newest.newerOf(rollout) : rollout;
			}
		}
		Rollout heard = this.table.decision(order.service());
		if (heard != null) {
			newest = (newest != null) ? newest.newerOf(heard) : heard;
		}
		return (newest != null && newest.order().offset() >= order.offset()) ? newest : null;
	}

	private String baseline(RolloutOrder order) {
		return this.endpoints.listed(order.service())
			.stream()
			.map((endpoint) -> endpoint.entry().version())
			.filter((version) -> !version.equals(order.candidate()))
			.collect(Collectors.groupingBy((version) -> version, Collectors.counting()))
			.entrySet()
			.stream()
			.max(Map.Entry.comparingByValue())
			.map(Map.Entry::getKey)
			.orElse("");
	}

	private VersionCounts counts(RolloutOrder order) {
		int candidate = 0;
		int baseline = 0;
		for (Endpoint endpoint : this.endpoints.listed(order.service())) {
			if (endpoint.entry().draining()) {
				continue;
			}
			if (endpoint.entry().version().equals(order.candidate())) {
				candidate++;
			}
			else {
				baseline++;
			}
		}
		return new VersionCounts(baseline, candidate);
	}

	private void publish(Rollout rollout, long now) {
		boolean stands = this.persisted.contains(rollout.durable());
		if (rollout.stage().settled() && !stands) {
			return;
		}
		this.table.decided(List.of(rollout), now);
		if (!stands) {
			return;
		}
		if (!(rollout.stage() instanceof RolloutStage.Completed)) {
			this.status.announce(rollout, now);
			return;
		}
		Long since = this.persistedAt.putIfAbsent(rollout.order().offset(), now);
		if (since != null && now - since >= ANNOUNCEMENT_DELAY.toNanos()) {
			this.status.announce(rollout, now);
		}
	}

	/**
	 * Returns what the lease's record is to name.
	 * @return the newest rollout of each service
	 */
	List<Rollout> durable() {
		Map<ServiceName, Rollout> newest = new HashMap<>();
		this.persisted.forEach((rollout) -> newest.put(rollout.order().service(), rollout));
		this.decided.forEach((service, rollout) -> newest.merge(service, rollout.durable(), Rollout::newerOf));
		return newest.values()
			.stream()
			.sorted(Comparator.comparing((rollout) -> rollout.order().service().value()))
			.toList();
	}

}
