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
import org.banyancove.gateway.rollout.RolloutController.EndpointCounts;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.rollout.RolloutStage;
import org.banyancove.gateway.rollout.RolloutTable;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes rollouts while this gateway holds the lease.
 * <p>
 * A decision that ends a rollout takes effect only once the lease record contains it, so
 * that the next holder cannot decide otherwise.
 */
final class RolloutExecutor {

	private static final Logger log = LoggerFactory.getLogger(RolloutExecutor.class);

	/**
	 * Time from the decision to complete a rollout until it is published, at which the
	 * endpoints of the baseline stop: by then all gateways follow the decision.
	 */
	private static final Duration PUBLICATION_DELAY = Duration.ofMillis(300);

	/**
	 * Range of revisions reserved for each fence, so that the revisions of the next
	 * holder, whose fence is higher, are higher as well.
	 */
	private static final long REVISIONS_PER_FENCE = 1_000_000;

	private final RolloutTable table;

	private final RolloutController controller;

	private final RolloutStatusPublisher statusPublisher;

	private final Supplier<FleetView> fleetView;

	private final EndpointTable endpoints;

	private final InstantSource wallClock;

	private final Map<ServiceName, Rollout> decisions = new HashMap<>();

	private final Map<Long, Long> completionPersistedAt = new HashMap<>();

	private List<Rollout> persistedRollouts = List.of();

	private long fence;

	private long revision;

	RolloutExecutor(RolloutTable table, RolloutController controller, RolloutStatusPublisher statusPublisher,
			Supplier<FleetView> fleetView, EndpointTable endpoints, InstantSource wallClock) {
		this.table = table;
		this.controller = controller;
		this.statusPublisher = statusPublisher;
		this.fleetView = fleetView;
		this.endpoints = endpoints;
		this.wallClock = wallClock;
	}

	/**
	 * Decides the next steps.
	 * @param newFence the fence of the lease
	 * @param recordedRollouts the rollouts that the lease record contains
	 * @param now the current time of the monotonic clock
	 */
	void tick(long newFence, List<Rollout> recordedRollouts, long now) {
		if (newFence != this.fence) {
			this.fence = newFence;
			this.revision = newFence * REVISIONS_PER_FENCE;
			this.decisions.clear();
			this.completionPersistedAt.clear();
		}
		this.persistedRollouts = recordedRollouts;
		this.table.applyDecisions(recordedRollouts.stream().filter((rollout) -> rollout.stage().isTerminal()).toList(),
				now);
		for (RolloutOrder order : this.table.orders()) {
			decide(order);
		}
		for (Rollout rollout : List.copyOf(this.decisions.values())) {
			publish(rollout, now);
		}
	}

	private void decide(RolloutOrder order) {
		Rollout current = newestState(order);
		if (current == null) {
			Instant now = this.wallClock.instant().truncatedTo(ChronoUnit.MILLIS);
			current = new Rollout(order, servingVersion(order), now, 0, RolloutStage.InProgress.NO_TRAFFIC);
			log.atInfo()
				.addKeyValue("service", order.service())
				.addKeyValue("baseline", current.baseline())
				.addKeyValue("candidate", order.candidate())
				.log("rollout started");
		}
		if (current.stage().isTerminal()) {
			this.decisions.put(order.service(), current);
			return;
		}
		RolloutReport fleetReport = this.fleetView.get().rollouts().plus(this.table.report());
		RolloutController.Step step = this.controller.next(current, fleetReport, countVersions(order),
				this.wallClock.instant());
		this.revision++;
		this.decisions.put(order.service(), current.withDecision(this.revision, step.stage()));
		if (!step.stage().equals(current.stage())) {
			log.atInfo()
				.addKeyValue("service", order.service())
				.addKeyValue("candidate", order.candidate())
				.addKeyValue("stage", step.stage())
				.addKeyValue("verdict", step.verdict())
				.addKeyValue("samples", fleetReport.samples())
				.log("rollout advanced");
		}
	}

	private @Nullable Rollout newestState(RolloutOrder order) {
		Rollout newest = this.decisions.get(order.service());
		for (Rollout rollout : this.persistedRollouts) {
			if (rollout.order().service().equals(order.service())) {
				newest = (newest != null) ? newest.newerOf(rollout) : rollout;
			}
		}
		Rollout reported = this.table.decision(order.service());
		if (reported != null) {
			newest = (newest != null) ? newest.newerOf(reported) : reported;
		}
		return (newest != null && newest.order().offset() >= order.offset()) ? newest : null;
	}

	private String servingVersion(RolloutOrder order) {
		return this.endpoints.endpointsOf(order.service())
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

	private EndpointCounts countVersions(RolloutOrder order) {
		int candidate = 0;
		int baseline = 0;
		for (Endpoint endpoint : this.endpoints.endpointsOf(order.service())) {
			if (endpoint.draining()) {
				continue;
			}
			if (endpoint.entry().version().equals(order.candidate())) {
				candidate++;
			}
			else {
				baseline++;
			}
		}
		return new EndpointCounts(baseline, candidate);
	}

	private void publish(Rollout rollout, long now) {
		boolean persisted = this.persistedRollouts.contains(rollout.withoutWeights());
		if (rollout.stage().isTerminal() && !persisted) {
			return;
		}
		this.table.applyDecisions(List.of(rollout), now);
		if (!persisted) {
			return;
		}
		if (!(rollout.stage() instanceof RolloutStage.Completed)) {
			this.statusPublisher.publish(rollout, now);
			return;
		}
		Long firstSeenAt = this.completionPersistedAt.putIfAbsent(rollout.order().offset(), now);
		if (firstSeenAt != null && now - firstSeenAt >= PUBLICATION_DELAY.toNanos()) {
			this.statusPublisher.publish(rollout, now);
		}
	}

	/**
	 * Returns the rollouts that the lease record is to contain.
	 * @return the newest rollout of each service
	 */
	List<Rollout> rolloutsToPersist() {
		Map<ServiceName, Rollout> newest = new HashMap<>();
		this.persistedRollouts.forEach((rollout) -> newest.put(rollout.order().service(), rollout));
		this.decisions.forEach((service, rollout) -> newest.merge(service, rollout.withoutWeights(), Rollout::newerOf));
		return newest.values()
			.stream()
			.sorted(Comparator.comparing((rollout) -> rollout.order().service().value()))
			.toList();
	}

}
