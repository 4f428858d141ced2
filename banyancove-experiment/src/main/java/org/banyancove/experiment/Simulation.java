package org.banyancove.experiment;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.banyancove.core.EndpointId;
import org.banyancove.core.routing.CacheChange;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.LoadReport;

/**
 * Simulates one run: a fleet, a workload, delayed reports and faults, with the decisions
 * of the core.
 */
final class Simulation {

	private static final double REPORT_INTERVAL_SECONDS = 1;

	private static final double HEARTBEAT_INTERVAL_SECONDS = 1;

	/** The limit of the entries' heartbeats. */
	private static final int MAXIMUM_LOADS_PER_HEARTBEAT = 12;

	/** Heartbeats carry loads within a data center only. */
	private static final int DATA_CENTERS = 3;

	private static final long RANDOM_STREAMS_PER_ENTRY = 10;

	private static final double TICK_INTERVAL_SECONDS = 0.05;

	private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.05;

	private static final double WAVE_START_FRACTION = 0.4;

	private static final double RECLAIM_NOTICE_SECONDS = 10;

	private static final double RESTART_DELAY_SECONDS = 90;

	/** How long the run continues after the last arrival. */
	private static final double DRAIN_SECONDS = 90;

	private final RunSettings settings;

	private final EventQueue events = new EventQueue();

	private final Map<EndpointId, SimulatedEndpoint> endpoints = new LinkedHashMap<>();

	private final RandomGenerator delays;

	private final RunMetrics metrics = new RunMetrics();

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final Fleet fleet;

	Simulation(RunSettings settings) {
		this.settings = settings;
		this.fleet = settings.user().fleet();
		this.delays = random(1);
		for (int number = 0; number < settings.entries(); number++) {
			this.entries.add(new SimulatedEntry(settings, this.events, this.endpoints, this.metrics,
					random(2 + number * RANDOM_STREAMS_PER_ENTRY)));
		}
	}

	RunResult run() {
		startEndpoints();
		double until = this.settings.seconds() + DRAIN_SECONDS;
		this.events.scheduleEvery(REPORT_INTERVAL_SECONDS, until, this::reportLoads);
		this.events.scheduleEvery(TICK_INTERVAL_SECONDS, until, () -> this.entries.forEach(SimulatedEntry::tick));
		if (this.entries.size() > 1) {
			this.events.scheduleEvery(HEARTBEAT_INTERVAL_SECONDS, until, this::sendHeartbeats);
		}
		Workload workload = new Workload(this.settings.user(), this.fleet, this.settings.scenario().load(),
				this.settings.seconds(), random(3));
		RandomGenerator callers = random(4);
		for (Arrival arrival : workload.generate()) {
			SimulatedEntry entry = this.entries.get(callers.nextInt(this.entries.size()));
			this.events.scheduleAfter(arrival.at(), () -> entry.accept(arrival));
		}
		if (this.settings.scenario() == Scenario.RECLAIM_WAVE) {
			this.events.scheduleAfter(this.settings.seconds() * WAVE_START_FRACTION, this::startReclaimWave);
		}
		this.events.run();
		return this.metrics.result(this.settings, this.endpoints.values());
	}

	private RandomGenerator random(long stream) {
		return RandomGeneratorFactory.of("L64X128MixRandom").create(this.settings.seed() * 1000 + stream);
	}

	private void startEndpoints() {
		for (Fleet.Engine engine : this.fleet.engines()) {
			add(new SimulatedEngine(engine, this.events, this::cacheChanged));
		}
		for (Fleet.Service service : this.fleet.services()) {
			add(new SimulatedService(service, this.events));
		}
	}

	private void add(SimulatedEndpoint endpoint) {
		this.endpoints.put(endpoint.definition().id(), endpoint);
		this.entries.forEach((entry) -> entry.table().put(endpoint.definition(), this.events.instant()));
	}

	private void reportLoads() {
		for (SimulatedEndpoint endpoint : this.endpoints.values()) {
			LoadReport report = endpoint.report();
			for (SimulatedEntry entry : this.entries) {
				double lag = 0.3 + this.delays.nextDouble();
				this.events.scheduleAfter(lag, () -> entry.table().loadReported(endpoint.definition().id(), report));
			}
		}
	}

	private void cacheChanged(SimulatedEngine engine, CacheChange change) {
		for (SimulatedEntry entry : this.entries) {
			double lag = 0.5 + 0.5 * this.delays.nextDouble();
			if (this.delays.nextDouble() >= CACHE_EVENT_LOSS_PROBABILITY) {
				this.events.scheduleAfter(lag, () -> entry.table().cacheChanged(engine.definition().id(), change));
			}
		}
	}

	private void sendHeartbeats() {
		for (int from = 0; from < this.entries.size(); from++) {
			List<Map.Entry<EndpointId, Integer>> sent = new ArrayList<>(
					this.entries.get(from).drainAttemptsSent().entrySet());
			sent.sort(Map.Entry.<EndpointId, Integer>comparingByValue().reversed().thenComparing(Map.Entry::getKey));
			List<Map.Entry<EndpointId, Integer>> largest = sent.subList(0,
					Math.min(sent.size(), MAXIMUM_LOADS_PER_HEARTBEAT));
			for (int to = from % DATA_CENTERS; to < this.entries.size(); to += DATA_CENTERS) {
				if (to != from) {
					sendLoads(this.entries.get(to).table(), largest);
				}
			}
		}
	}

	private void sendLoads(EndpointTable peer, List<Map.Entry<EndpointId, Integer>> loads) {
		this.events.scheduleAfter(HEARTBEAT_INTERVAL_SECONDS * this.delays.nextDouble() / 2,
				() -> loads.forEach((load) -> peer.peerSent(load.getKey(), load.getValue(), this.events.instant())));
	}

	private void startReclaimWave() {
		boolean first = true;
		for (SimulatedEndpoint endpoint : this.endpoints.values()) {
			if (endpoint.definition().zone().value().equals(this.fleet.reclaimedZone())) {
				// One of the zone's VMs is reclaimed before its notice arrives.
				reclaim(endpoint, (first ? 0 : RECLAIM_NOTICE_SECONDS));
				first = false;
			}
		}
	}

	private void reclaim(SimulatedEndpoint endpoint, double noticeSeconds) {
		if (noticeSeconds > 0) {
			Instant reclaimAt = this.events.at(this.events.now() + noticeSeconds);
			this.entries.forEach((entry) -> entry.reclaimAnnounced(endpoint.definition(), reclaimAt));
		}
		this.events.scheduleAfter(noticeSeconds, () -> {
			endpoint.kill();
			this.entries.forEach((entry) -> entry.endpointLost(endpoint.definition().id()));
		});
		this.events.scheduleAfter(noticeSeconds + RESTART_DELAY_SECONDS, () -> {
			endpoint.restart();
			this.entries.forEach((entry) -> entry.endpointRestarted(endpoint.definition()));
		});
	}

}
