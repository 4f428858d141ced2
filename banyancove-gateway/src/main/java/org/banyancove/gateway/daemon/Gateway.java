package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.LeaseKeeper;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.duty.UsageCounter;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.endpoint.RateLimitAllotment;
import org.banyancove.gateway.exchange.CallerServer;
import org.banyancove.gateway.exchange.ClientConnections;
import org.banyancove.gateway.exchange.Meters;
import org.banyancove.gateway.exchange.RequestFlow;
import org.banyancove.gateway.rollout.RolloutController;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.gateway.shared.Duties;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.SharedTopics;
import org.banyancove.gateway.shared.SteadyClock;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.program.MetricsText;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway's process: follows shared state, takes requests, and stops in order.
 */
public final class Gateway {

	private static final Logger log = LoggerFactory.getLogger(Gateway.class);

	/**
	 * How long the store may hold a read of the gateways' addresses until there is
	 * something new: somewhat below its bound of 30 s. Calls are paid for; a connection
	 * that went silent shows by its keep-alive probes before that.
	 */
	private static final Duration GATEWAYS_WAIT = Duration.ofSeconds(25);

	/**
	 * Between two held reads of the gateways' addresses: while a fleet starts, each new
	 * address would end the reads of all.
	 */
	private static final Duration GATEWAYS_INTERVAL = Duration.ofSeconds(1);

	/**
	 * While another gateway holds the lease, its topic is read only to be near its end.
	 */
	private static final Duration LEASES_INTERVAL = Duration.ofSeconds(8);

	/** When none does: several times within a lease. */
	private static final Duration LEASES_INTERVAL_UNHELD = Duration.ofMillis(700);

	/**
	 * The same for a gateway that is no aggregator: the aggregators claim first, and the
	 * rest only if none of them reaches the store.
	 */
	private static final Duration LEASES_INTERVAL_OTHERS = Duration.ofSeconds(5);

	/**
	 * The most between two attempts while reads fail, at a gateway that others rely on.
	 */
	private static final Duration AGGREGATOR_RETRY_DELAY = Duration.ofMillis(250);

	/** The same at any other. */
	private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(2);

	private static final Duration TICK = Duration.ofMillis(200);

	private final GatewaySettings settings;

	private final EventLoopGroup eventLoops;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final SharedTopics topics;

	private final long incarnation;

	private final EndpointTable endpoints;

	private final RolloutTable rollouts = new RolloutTable();

	private final ServingEndpoints serving;

	private final PeerTable peerTable;

	private final GatewayAddress address;

	private final UsageCounter usage;

	private final GatewayMetrics metrics;

	private final PlacementRule placement;

	private final RequestFlow flow;

	private final CallerServer callers;

	private final StatusServer status;

	private final DutyWork duties;

	private final PeerChannel channel = new PeerChannel(this::received);

	private final FleetExchange fleet;

	private final DemandEstimator work = new DemandEstimator();

	private final EventLoopLag lag;

	private final StateWatch state;

	private final ReadingDelegation delegation;

	private FleetView others = FleetView.ALONE;

	private @Nullable Configuration configuration;

	private boolean stopping;

	private boolean wasReady;

	/**
	 * Creates a gateway.
	 * @param settings its settings
	 * @param eventLoops a group of one loop, on which everything runs
	 * @param clocks the clocks
	 * @param random the random numbers
	 * @param headerCodec the words of headers
	 * @param reader reads the records that others write
	 * @param ports the platform's store and duties
	 * @param connections the connections to endpoints
	 */
	public Gateway(GatewaySettings settings, EventLoopGroup eventLoops, Clocks clocks, RandomGenerator random,
			HeaderCodec headerCodec, RecordCodec reader, Ports ports, ClientConnections connections) {
		this.settings = settings;
		this.eventLoop = eventLoops.next();
		this.clock = clocks.steady();
		this.topics = ports.topics();
		this.incarnation = random.nextLong() >>> 1;
		PrometheusRegistry registry = new PrometheusRegistry();
		this.metrics = new GatewayMetrics(registry);
		this.lag = new EventLoopLag(TICK, registry);
		this.usage = new UsageCounter(settings.usageWindow());
		this.endpoints = new EndpointTable(new RateLimitAllotment(settings.name(), this::gateways));
		this.serving = new ServingEndpoints(this.endpoints, this.rollouts);
		this.placement = new PlacementRule(settings.zone());
		this.flow = new RequestFlow(this.eventLoop, this.clock, clocks.wall(), random, headerCodec, connections,
				this.serving, this::endpointsCurrent, this.placement, new Meters(this.usage, this.work), this.metrics,
				settings.retryLimits());
		this.callers = new CallerServer(eventLoops, this.clock, this::limits, this.flow);
		this.peerTable = new PeerTable(this.incarnation, settings.zone());
		this.address = new GatewayAddress(settings.name(), settings.peers(), settings.zone(),
				settings.processorShare());
		this.fleet = new FleetExchange(this.address, this.eventLoop, this.clock, this.channel, this.peerTable,
				this::report, this.flow::remoteUsage, this::relayed);
		this.eventLoops = eventLoops;
		this.status = new StatusServer(eventLoops, this::ready, new MetricsText(registry));
		LeaseKeeper keeper = new LeaseKeeper(settings.name(), this.incarnation, settings.lease(), random.nextDouble(),
				this.clock.nanos());
		EndpointScaling scaling = new EndpointScaling(ports.duties(), () -> this.others, this.work, this.serving);
		RolloutWork rolloutWork = new RolloutWork(this.rollouts, new RolloutController(settings.exposureLimits()),
				new RolloutStatus(this.topics, reader), () -> this.others, this.endpoints, clocks.wall());
		this.duties = new DutyWork(this.topics, ports.duties(), this.clock, clocks.wall(), keeper, this.usage,
				this.peerTable, scaling, rolloutWork);
		this.delegation = new ReadingDelegation(this.clock, this.incarnation);
		this.state = new StateWatch(this.topics, this.eventLoop, this.clock, reader, this.endpoints,
				this.delegation::ofSharedState, this::maximumRetryDelay, this.fleet::relay, this.fleet::forward,
				this::configure, this.rollouts::ordered, settings.changeDeadline());
	}

	/**
	 * Starts to listen and to follow shared state.
	 * @param callersSocket where callers' connections arrive
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void start(ServerSocketChannel callersSocket) throws InterruptedException {
		this.callers.listen(callersSocket);
		this.channel.listen(this.eventLoops, this.settings.peers());
		this.status.listen(this.settings.readiness());
		if (this.settings.metrics() != null) {
			this.status.listen(this.settings.metrics());
		}
		this.eventLoop.execute(this::follow);
		log.atInfo()
			.addKeyValue("name", this.settings.name())
			.addKeyValue("incarnation", this.incarnation)
			.addKeyValue("callers", this.settings.callers())
			.log("started");
	}

	private void follow() {
		this.state.start();
		new TopicFollower(Topic.GATEWAYS, this.topics, this.eventLoop, this.clock,
				new ReadPace(() -> GATEWAYS_INTERVAL, GATEWAYS_WAIT, () -> MAXIMUM_RETRY_DELAY), () -> false,
				new AddressAnnouncement(this.address, this.fleet.directory(), this.topics, this.eventLoop))
			.start();
		if (this.settings.reportsUsage() || this.settings.ordersEndpoints()) {
			leaseFollower().start();
		}
		this.eventLoop.scheduleWithFixedDelay(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
		this.fleet.start();
	}

	private TopicFollower leaseFollower() {
		return new TopicFollower(Topic.LEASES, this.topics, this.eventLoop, this.clock,
				new ReadPace(this::leasesInterval, Duration.ZERO, this::maximumRetryDelay), this.delegation::ofLease,
				this.duties);
	}

	private Duration leasesInterval() {
		if (this.others.leaseHeld()) {
			return LEASES_INTERVAL;
		}
		return (this.others.aggregates() || this.duties.holds()) ? LEASES_INTERVAL_UNHELD : LEASES_INTERVAL_OTHERS;
	}

	// An aggregator passes on what it reads, so that the rest need not ask as often.
	private Duration maximumRetryDelay() {
		return this.others.aggregates() ? AGGREGATOR_RETRY_DELAY : MAXIMUM_RETRY_DELAY;
	}

	private Collection<String> gateways() {
		return this.fleet.gateways();
	}

	private boolean endpointsCurrent() {
		return this.state.endpointsCurrent(this.clock.nanos());
	}

	private CallerLimits limits() {
		return (this.configuration != null) ? this.configuration.limits() : CallerLimits.DEFAULT;
	}

	private boolean ready() {
		return !this.stopping && this.state.complete();
	}

	private void configure(Configuration newest) {
		this.configuration = newest;
		this.endpoints.configure(newest);
		this.duties.configure(newest);
		this.flow.configure(newest);
	}

	private void received(InetSocketAddress sender, byte[] message) {
		this.fleet.received(sender, message);
	}

	private void relayed(RelayedRecords records) {
		this.state.relayed(records);
	}

	private GatewayReport report() {
		TrafficTotals traffic = new TrafficTotals(this.usage.counts(), this.flow.used(),
				this.work.perService(this.clock.nanos()), loads(), this.rollouts.report(),
				rateLimits(this.clock.nanos()));
		return new GatewayReport(this.incarnation, this.settings.zone(), traffic, this.duties.holds(),
				this.state.known());
	}

	private Map<EndpointId, EndpointLoad> loads() {
		Map<EndpointId, EndpointLoad> loads = new HashMap<>();
		for (Endpoint endpoint : this.endpoints.all()) {
			if (endpoint.inFlight() > 0) {
				loads.put(endpoint.id(), new EndpointLoad(endpoint.inFlight(), endpoint.waitingTokens()));
			}
		}
		return loads;
	}

	private Map<EndpointId, ObservedRateLimit> rateLimits(long now) {
		Map<EndpointId, ObservedRateLimit> limits = new HashMap<>();
		for (Endpoint endpoint : this.endpoints.all()) {
			ObservedRateLimit observed = endpoint.rateLimiter().observed(now);
			if (observed != null) {
				limits.put(endpoint.id(), observed);
			}
		}
		return limits;
	}

	private void readRateLimits(long now) {
		this.others.rateLimits().forEach((id, limit) -> {
			Endpoint endpoint = this.endpoints.get(id);
			Double requestsPerSecond = limit.requestsPerSecond();
			if (endpoint != null
					&& endpoint.rateLimiter().observe(requestsPerSecond, now - limit.age().toNanos(), now)) {
				this.metrics.rateLimitChanged(id, requestsPerSecond);
			}
		});
	}

	private void readOthers(long now) {
		this.others = this.peerTable.view(now);
		this.delegation.update(this.others);
		this.flow.fleet(this.others.others() + 1, this.others.reachableShare());
		this.placement.unreachable(this.others.unreachableDataCenters());
		readRateLimits(now);
		this.rollouts.decided(this.others.rollouts().rollouts(), now);
		if (this.configuration != null) {
			this.serving.noteVersions(this.configuration.serviceNames());
		}
		for (Endpoint endpoint : this.endpoints.all()) {
			EndpointLoad load = this.others.loads().getOrDefault(endpoint.id(), EndpointLoad.NONE);
			endpoint.others(load.inFlight(), load.pendingPrefillTokens());
		}
	}

	private void tick() {
		try {
			long now = this.clock.nanos();
			this.lag.ticked(now);
			this.endpoints.expire(now).forEach((id) -> log.atInfo().addKeyValue("endpoint", id).log("endpoint gone"));
			this.peerTable.expire(now);
			readOthers(now);
			this.state.compare(this.others.known(), now);
			this.metrics.endpointsAge(this.state.endpointsAge(now));
			if (this.settings.reportsUsage() || this.settings.ordersEndpoints()) {
				this.duties.tick();
			}
			this.metrics.nextTick();
			if (ready() != this.wasReady) {
				this.wasReady = ready();
				log.atInfo().addKeyValue("ready", this.wasReady).log("readiness changed");
			}
		}
		catch (RuntimeException ex) {
			// The timer would end for good; the next tick may well succeed.
			log.error("tick failed", ex);
		}
	}

	/**
	 * Stops in order: takes no new connections, lets requests end, closes what is idle.
	 * Returns when that is done or the time is up.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.eventLoop.execute(() -> this.stopping = true);
		new OrderlyStop(this.eventLoop, this.clock, this.callers, this.flow).run(this.settings.stopTime());
	}

	/**
	 * The clocks of a gateway.
	 *
	 * @param steady the clock that never jumps
	 * @param wall the time of day
	 */
	public record Clocks(SteadyClock steady, InstantSource wall) {
	}

	/**
	 * The ports to the platform.
	 *
	 * @param topics its store
	 * @param duties the calls that one gateway makes for all
	 */
	public record Ports(SharedTopics topics, Duties duties) {
	}

}
