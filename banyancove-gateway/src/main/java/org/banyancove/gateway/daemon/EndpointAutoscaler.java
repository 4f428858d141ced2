package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.ScalingLimits;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.ScalingPolicy;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.gateway.shared.Duties;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders endpoints while this gateway holds the lease.
 */
final class EndpointAutoscaler {

	private static final Logger log = LoggerFactory.getLogger(EndpointAutoscaler.class);

	/**
	 * Interval between two decisions: a start takes seconds, and calls are billed.
	 */
	private static final Duration DECISION_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Delay of the first decision after this gateway acquired the lease. By then all
	 * endpoints have written their entries and the other gateways have reported their
	 * loads; an earlier order would replace endpoints that already exist.
	 */
	private static final Duration FIRST_DECISION_DELAY = Duration.ofSeconds(3);

	/**
	 * Maximum delay of the first order of a fleet without requests, while its endpoints
	 * are still being listed: they write their entries over five seconds after a start.
	 */
	private static final Duration MAXIMUM_LISTING_DELAY = Duration.ofSeconds(6);

	/** Time without a new endpoint after which a starting fleet counts as listed. */
	private static final Duration LISTING_SETTLED = Duration.ofSeconds(2);

	/** Delay until an unfilled order is sent again. */
	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(4);

	/**
	 * Delay until a rejected order is sent again. On-demand endpoints replace the
	 * reclaimable ones until then, and a second of them costs more than many calls.
	 */
	private static final Duration REJECTED_RETRY_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Engine time that a request takes on shared machines relative to the estimate. The
	 * estimate is the lower quartile of the first tokens at usual speed; other work on
	 * the machine makes the mean longer.
	 */
	private static final double SHARED_MACHINE_FACTOR = 2;

	private final Duties duties;

	private final Supplier<FleetView> fleetView;

	private final DemandEstimator demandEstimator;

	private final ServingEndpoints endpoints;

	private final Map<ServiceName, ScalingPolicy> policies = new HashMap<>();

	private final Map<OrderKey, SentOrder> lastOrders = new HashMap<>();

	private final Set<OrderKey> pendingOrders = new HashSet<>();

	private final Set<ServiceName> reclaimableAvailable = new HashSet<>();

	private @Nullable Configuration configuration;

	private long fence;

	private long acquiredAt;

	private long nextDecisionAt;

	private int listedCount;

	private long listGrewAt;

	EndpointAutoscaler(Duties duties, Supplier<FleetView> fleetView, DemandEstimator demandEstimator,
			ServingEndpoints endpoints) {
		this.duties = duties;
		this.fleetView = fleetView;
		this.demandEstimator = demandEstimator;
		this.endpoints = endpoints;
	}

	void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
	}

	void tick(long newFence, long now) {
		if (newFence != this.fence) {
			this.fence = newFence;
			this.lastOrders.clear();
			this.acquiredAt = now;
			this.listedCount = 0;
			this.nextDecisionAt = now + FIRST_DECISION_DELAY.toNanos();
		}
		Configuration current = this.configuration;
		if (current == null) {
			return;
		}
		recordListed(current, now);
		if (now < this.nextDecisionAt || isListing(now)) {
			return;
		}
		this.nextDecisionAt = now + DECISION_INTERVAL.toNanos();
		for (Service service : current.services()) {
			if (service.scaling() != null && !this.endpoints.rolloutInProgress(service.name())) {
				scale(service.name(), service.scaling(), now);
			}
		}
	}

	private void recordListed(Configuration current, long now) {
		int count = current.services()
			.stream()
			.filter((service) -> service.scaling() != null)
			.mapToInt((service) -> this.endpoints.count(service.name()))
			.sum();
		if (count > this.listedCount) {
			this.listGrewAt = now;
		}
		this.listedCount = count;
	}

	// A first order before all endpoints are listed would shrink a fleet just before its
	// first request, since it replaces the listed endpoints by as many.
	private boolean isListing(long now) {
		boolean demand = this.fleetView.get().demand().values().stream().anyMatch((millis) -> millis > 0)
				|| this.demandEstimator.demandByService(now).values().stream().anyMatch((millis) -> millis > 0);
		return !demand && this.lastOrders.isEmpty() && now - this.listGrewAt < LISTING_SETTLED.toNanos()
				&& now - this.acquiredAt < MAXIMUM_LISTING_DELAY.toNanos();
	}

	private void scale(ServiceName service, ScalingLimits limits, long now) {
		List<Endpoint> listed = this.endpoints.stableEndpoints(service, now);
		FleetView view = this.fleetView.get();
		int inFlight = listed.stream()
			.mapToInt((endpoint) -> endpoint.inFlight()
					+ view.loads().getOrDefault(endpoint.id(), EndpointLoad.NONE).inFlight())
			.sum();
		boolean sharedMachines = listed.stream().anyMatch((endpoint) -> endpoint.partition().slowdownAnnounced());
		double requiredMillisPerSecond = (this.demandEstimator.demandByService(now).getOrDefault(service, 0.0)
				+ view.demand().getOrDefault(service, 0.0)) * (sharedMachines ? SHARED_MACHINE_FACTOR : 1);
		List<EndpointEntry> entries = listed.stream().map(Endpoint::entry).toList();
		this.policies.computeIfAbsent(service, (name) -> new ScalingPolicy())
			.decide(limits, entries, requiredMillisPerSecond, inFlight, this.reclaimableAvailable.contains(service),
					now)
			.forEach((order) -> sendOrder(new OrderKey(service, order.dataCenter(), order.reclaimable()), order.count(),
					entries, requiredMillisPerSecond, now));
	}

	private void sendOrder(OrderKey key, int count, List<EndpointEntry> listed, double requiredMillisPerSecond,
			long now) {
		SentOrder previous = this.lastOrders.get(key);
		boolean changed = previous == null || previous.count() != count;
		int running = ScalingPolicy.running(listed, key.dataCenter(), key.reclaimable());
		boolean unfilled = running != count;
		boolean due = previous == null || now - previous.at() >= previous.interval().toNanos();
		if (!(changed || (unfilled && due)) || !this.pendingOrders.add(key)) {
			return;
		}
		this.lastOrders.put(key, new SentOrder(count, now, RETRY_INTERVAL));
		this.duties.orderEndpoints(this.fence, key.service(), key.dataCenter(), key.reclaimable(), count)
			.whenComplete((accepted, failure) -> {
				this.pendingOrders.remove(key);
				if (Boolean.FALSE.equals(accepted)) {
					this.lastOrders.replace(key, new SentOrder(count, now, REJECTED_RETRY_INTERVAL));
				}
				if (key.reclaimable()) {
					recordAvailability(key.service(), Boolean.TRUE.equals(accepted), count > running);
				}
				log.atInfo()
					.addKeyValue("service", key.service().value())
					.addKeyValue("zone", key.dataCenter().value())
					.addKeyValue("reclaimable", key.reclaimable())
					.addKeyValue("count", count)
					.addKeyValue("running", running)
					.addKeyValue("neededMsPerSecond", Math.round(requiredMillisPerSecond))
					.addKeyValue("taken", accepted)
					.addKeyValue("cause", (failure != null) ? failure.toString() : null)
					.log("endpoints ordered");
			});
	}

	// Without additional endpoints an accepted order shows nothing, and on-demand
	// endpoints that replace reclaimed ones would be cancelled while they start.
	private void recordAvailability(ServiceName service, boolean accepted, boolean additional) {
		if (!accepted) {
			this.reclaimableAvailable.remove(service);
		}
		else if (additional) {
			this.reclaimableAvailable.add(service);
		}
	}

	private record SentOrder(int count, long at, Duration interval) {
	}

	private record OrderKey(ServiceName service, DataCenterName dataCenter, boolean reclaimable) {
	}

}
