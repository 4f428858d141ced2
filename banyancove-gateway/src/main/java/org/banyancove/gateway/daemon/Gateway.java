package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.LeaseElector;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.duty.UsageCounter;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.exchange.CallerServer;
import org.banyancove.gateway.exchange.ConnectionPool;
import org.banyancove.gateway.exchange.EndpointFreshness;
import org.banyancove.gateway.exchange.Meters;
import org.banyancove.gateway.exchange.RequestDispatcher;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.resumption.ListedVersions;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.retry.RetryBudgets;
import org.banyancove.gateway.rollout.RolloutController;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.gateway.shared.Duties;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.StreamMoveCodec;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicStore;
import org.banyancove.gateway.tunnel.TunnelPeer;
import org.banyancove.gateway.tunnel.TunnelPeers;
import org.banyancove.gateway.tunnel.TunnelServer;
import org.banyancove.program.MetricsText;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process of a gateway: follows shared state, serves requests and shuts down
 * gracefully.
 */
public final class Gateway {

	private static final Logger log = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Long-poll timeout of reads of the gateways' topic, somewhat below the store's limit
	 * of 30 s. Calls are billed; keep-alive probes detect an unresponsive connection
	 * earlier than that.
	 */
	private static final Duration GATEWAYS_LONG_POLL_TIMEOUT = Duration.ofSeconds(25);

	/**
	 * Interval between two long polls of that topic: while a fleet starts, each new
	 * address would otherwise end the long polls of all gateways.
	 */
	private static final Duration GATEWAYS_POLL_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Poll interval of the lease while another gateway holds it: this gateway only stays
	 * close to the end of the topic.
	 */
	private static final Duration LEASE_POLL_INTERVAL = Duration.ofSeconds(8);

	/**
	 * Poll interval of the lease while no gateway holds it: several times within a lease.
	 */
	private static final Duration UNHELD_LEASE_POLL_INTERVAL = Duration.ofMillis(700);

	/**
	 * Poll interval of an unheld lease on a gateway that is not an aggregator:
	 * aggregators claim the lease first, the others only if no aggregator reaches the
	 * store.
	 */
	private static final Duration NON_AGGREGATOR_LEASE_POLL_INTERVAL = Duration.ofSeconds(5);

	/**
	 * Maximum delay between two attempts while reads fail, on an aggregator, which other
	 * gateways depend on.
	 */
	private static final Duration AGGREGATOR_MAXIMUM_RETRY_DELAY = Duration.ofMillis(250);

	/** The same on any other gateway. */
	private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(2);

	private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

	private final GatewaySettings settings;

	private final EventLoopGroup eventLoops;

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final TopicStore topics;

	private final long incarnation;

	private final EndpointTable endpoints;

	private final RolloutTable rollouts = new RolloutTable();

	private final ServingEndpoints servingEndpoints;

	private final PeerTable peerTable;

	private final GatewayAddress address;

	private final UsageCounter usage;

	private final GatewayMetrics metrics;

	private final PartitionMetrics partitionMetrics;

	private final EndpointReports endpointReports;

	private final PlacementRule placementRule;

	private final RequestQuarantine quarantine;

	private final OnlyVersions onlyVersions;

	private final RetryBudgets retryBudgets;

	private final RequestDispatcher requestDispatcher;

	private final CallerServer callerServer;

	private final TunnelServer tunnelServer;

	private final TunnelPeers tunnelPeers;

	private final StatusServer statusServer;

	private final LeaseHolderDuties leaseHolderDuties;

	private final PeerChannel peerChannel = new PeerChannel(this::handleDatagram);

	private final FleetExchange fleetExchange;

	private final DemandEstimator demandEstimator = new DemandEstimator();

	private final EventLoopLagMonitor eventLoopLag;

	private final SharedStateFollower sharedState;

	private final ReadDelegation readDelegation;

	private FleetView fleetView = FleetView.ALONE;

	private @Nullable Configuration configuration;

	private boolean stopping;

	private boolean wasReady;

	/**
	 * Creates a gateway.
	 * @param settings the settings
	 * @param eventLoops a group of one event loop, which runs all work
	 * @param clocks the clocks
	 * @param random the random number generator
	 * @param headerCodec the codec of headers
	 * @param recordCodec the codec of the records that others write
	 * @param ports the store and the duties of the platform
	 * @param connections the connections to endpoints
	 */
	public Gateway(GatewaySettings settings, EventLoopGroup eventLoops, Clocks clocks, RandomGenerator random,
			HeaderCodec headerCodec, RecordCodec recordCodec, Ports ports, ConnectionPool connections) {
		this.settings = settings;
		this.eventLoop = eventLoops.next();
		this.clock = clocks.monotonic();
		this.topics = ports.topics();
		this.incarnation = random.nextLong() >>> 1;
		PrometheusRegistry registry = new PrometheusRegistry();
		this.metrics = new GatewayMetrics(registry);
		this.partitionMetrics = new PartitionMetrics(registry);
		this.eventLoopLag = new EventLoopLagMonitor(TICK_INTERVAL, registry);
		this.usage = new UsageCounter(settings.usageWindow());
		this.endpoints = new EndpointTable(new FleetAllocation(settings.name(), this::gateways, this::gatewaysListed));
		this.endpointReports = new EndpointReports(this.endpoints, this.metrics);
		this.servingEndpoints = new ServingEndpoints(this.endpoints, this.rollouts);
		this.onlyVersions = new OnlyVersions(new StoredVersions(), settings.changeDeadline());
		this.placementRule = new PlacementRule(settings.dataCenter(), random::nextDouble);
		this.quarantine = new RequestQuarantine(this.endpoints);
		this.peerTable = new PeerTable(this.incarnation, settings.dataCenter());
		this.address = new GatewayAddress(settings.name(), settings.peers(), settings.dataCenter(),
				settings.processorShare());
		this.fleetExchange = new FleetExchange(this.address, this.eventLoop, this.clock, this.peerChannel,
				this.peerTable, this::report, this::addRemoteUsage, this::applyRelayed, this.quarantine,
				this.onlyVersions);
		this.retryBudgets = new RetryBudgets(settings.retryLimits(), random::nextDouble, this.clock.nanos());
		this.requestDispatcher = new RequestDispatcher(this.eventLoop, this.clock, clocks.wall(), random, headerCodec,
				connections, this.servingEndpoints, new Freshness(), this.placementRule,
				new Meters(this.usage, this.demandEstimator), this.metrics, this.retryBudgets, this.quarantine,
				this.fleetExchange.streamOrigins(), ports.moves());
		this.callerServer = new CallerServer(eventLoops, this.clock, this::callerLimits, this.requestDispatcher);
		this.eventLoops = eventLoops;
		connections.setFramingListener(this.metrics);
		connections.setTunnelLifetime(GracefulShutdown.servingTime(settings.shutdownTimeout()));
		this.tunnelPeers = connections.connector().peers();
		this.tunnelServer = new TunnelServer(eventLoops, connections.connector(), this.fleetExchange::isGateway,
				this.endpoints::isListed, this.metrics);
		this.statusServer = new StatusServer(eventLoops, this::ready, new MetricsText(registry));
		LeaseElector leaseElector = new LeaseElector(settings.name(), this.incarnation, settings.lease(),
				random.nextDouble(), this.clock.nanos());
		EndpointAutoscaler autoscaler = new EndpointAutoscaler(ports.duties(), () -> this.fleetView,
				this.demandEstimator, this.servingEndpoints);
		RolloutExecutor rolloutExecutor = new RolloutExecutor(this.rollouts,
				new RolloutController(settings.exposureLimits()), new RolloutStatusPublisher(this.topics, recordCodec),
				() -> this.fleetView, this.endpoints, clocks.wall());
		this.leaseHolderDuties = new LeaseHolderDuties(this.topics, ports.duties(), this.clock, clocks.wall(),
				leaseElector, this.usage, this.peerTable, autoscaler, rolloutExecutor);
		this.readDelegation = new ReadDelegation(this.clock, this.incarnation);
		this.sharedState = new SharedStateFollower(this.topics, this.eventLoop, this.clock, recordCodec, this.endpoints,
				this.readDelegation::delegatesSharedState, this::maximumRetryDelay, this.fleetExchange::relay,
				this.fleetExchange::forward, this::configure, this.rollouts::addOrder, settings.changeDeadline());
	}

	/**
	 * Starts listening and following shared state.
	 * @param callersSocket the socket that accepts connections of callers
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void start(ServerSocketChannel callersSocket) throws InterruptedException {
		this.callerServer.listen(callersSocket);
		this.peerChannel.listen(this.eventLoops, this.settings.peers());
		this.tunnelServer.listen(this.settings.peers());
		this.statusServer.listen(this.settings.readiness());
		if (this.settings.metrics() != null) {
			this.statusServer.listen(this.settings.metrics());
		}
		this.eventLoop.execute(this::startFollowing);
		log.atInfo()
			.addKeyValue("name", this.settings.name())
			.addKeyValue("incarnation", this.incarnation)
			.addKeyValue("callers", this.settings.callers())
			.log("started");
	}

	private void startFollowing() {
		this.sharedState.start();
		new TopicFollower(Topic.GATEWAYS, this.topics, this.eventLoop, this.clock,
				new PollingPolicy(() -> GATEWAYS_POLL_INTERVAL, GATEWAYS_LONG_POLL_TIMEOUT, () -> MAXIMUM_RETRY_DELAY),
				() -> false,
				new AddressAnnouncement(this.address, this.fleetExchange.directory(), this.topics, this.eventLoop))
			.start();
		if (this.settings.reportsUsage() || this.settings.ordersEndpoints()) {
			newLeaseFollower().start();
		}
		this.eventLoop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
		this.fleetExchange.start();
	}

	private TopicFollower newLeaseFollower() {
		return new TopicFollower(Topic.LEASES, this.topics, this.eventLoop, this.clock,
				new PollingPolicy(this::leasePollInterval, Duration.ZERO, this::maximumRetryDelay),
				this.readDelegation::delegatesLease, this.leaseHolderDuties);
	}

	private Duration leasePollInterval() {
		if (this.fleetView.leaseHeldElsewhere()) {
			return LEASE_POLL_INTERVAL;
		}
		return (this.fleetView.aggregator() || this.leaseHolderDuties.holdsLease()) ? UNHELD_LEASE_POLL_INTERVAL
				: NON_AGGREGATOR_LEASE_POLL_INTERVAL;
	}

	// An aggregator relays what it reads, so that the others need not read as often.
	private Duration maximumRetryDelay() {
		return this.fleetView.aggregator() ? AGGREGATOR_MAXIMUM_RETRY_DELAY : MAXIMUM_RETRY_DELAY;
	}

	private Collection<String> gateways() {
		return this.fleetExchange.gateways();
	}

	private boolean gatewaysListed() {
		return this.fleetExchange.listedGateways() > 0;
	}

	private CallerLimits callerLimits() {
		return (this.configuration != null) ? this.configuration.limits() : CallerLimits.DEFAULT;
	}

	private boolean ready() {
		return !this.stopping && this.sharedState.complete();
	}

	private void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		this.endpoints.configure(newConfiguration);
		this.leaseHolderDuties.configure(newConfiguration);
		this.fleetExchange.streamOrigins().configure(newConfiguration.routes());
		this.requestDispatcher.configure(newConfiguration);
	}

	private void handleDatagram(InetSocketAddress sender, byte[] message) {
		this.fleetExchange.handleDatagram(sender, message);
	}

	private void addRemoteUsage(Map<AccountName, Double> used) {
		this.requestDispatcher.addRemoteUsage(used);
	}

	private void applyRelayed(RelayedRecords records) {
		this.sharedState.applyRelayed(records);
	}

	private GatewayReport report() {
		long now = this.clock.nanos();
		TrafficTotals traffic = new TrafficTotals(this.usage.counts(), this.requestDispatcher.quotaUsage(),
				this.demandEstimator.demandByService(now), this.endpointReports.loads(), this.rollouts.report(),
				this.endpointReports.rateLimits(now), this.endpointReports.slowdowns(now));
		return new GatewayReport(this.incarnation, this.settings.dataCenter(), traffic,
				this.leaseHolderDuties.holdsLease(), this.sharedState.sharedStateVersion());
	}

	private void applyFleetView(long now) {
		this.fleetView = this.peerTable.view(now);
		this.readDelegation.update(this.fleetView);
		this.requestDispatcher.updateFleet(this.fleetExchange.listedGateways(), this.fleetView, this.endpoints.all());
		this.placementRule.setUnreachableDataCenters(this.fleetView.unreachableDataCenters());
		this.endpointReports.apply(this.fleetView, now);
		this.rollouts.applyDecisions(this.fleetView.rollouts().rollouts(), now);
		if (this.configuration != null) {
			this.servingEndpoints.recordVersions(this.configuration.serviceNames(), now);
			this.onlyVersions.recordVersions(this.configuration.serviceNames(), now);
		}
	}

	private void updateTunnels() {
		List<TunnelPeer> others = this.fleetExchange.addresses()
			.stream()
			.filter((gateway) -> !gateway.name().equals(this.address.name()))
			.map(GatewayAddress::toTunnelPeer)
			.toList();
		this.tunnelPeers.update(this.address.toTunnelPeer(), others);
		this.tunnelServer.closeIdle();
	}

	private void tick() {
		try {
			long now = this.clock.nanos();
			this.eventLoopLag.timerFired(now);
			this.endpoints.removeExpired(now)
				.forEach((id) -> log.atInfo().addKeyValue("endpoint", id).log("endpoint gone"));
			this.peerTable.expire(now);
			applyFleetView(now);
			this.retryBudgets.tick(this.fleetExchange.listedGateways(), now);
			updateTunnels();
			this.fleetExchange.streamOrigins().tick(now);
			this.metrics.rememberedStreamOrigins(this.fleetExchange.streamOrigins().size());
			this.quarantine.expire(now);
			this.metrics.quarantined(this.quarantine.quarantined(now));
			this.metrics.backedOffEndpoints(
					this.endpoints.all().stream().mapToInt((endpoint) -> endpoint.backedOff(now) ? 1 : 0).sum());
			this.metrics.slowedEndpoints(this.endpointReports.slowedEndpoints(now));
			this.sharedState.reconcile(this.fleetView.sharedState(), now);
			this.metrics.endpointsAge(this.sharedState.endpointsAge(now));
			if (this.settings.reportsUsage() || this.settings.ordersEndpoints()) {
				this.leaseHolderDuties.tick();
			}
			this.metrics.availableRetries(this.retryBudgets.available(now));
			this.partitionMetrics.report(this.endpoints.partitions());
			this.metrics.replenishLogLines();
			if (ready() != this.wasReady) {
				this.wasReady = ready();
				log.atInfo().addKeyValue("ready", this.wasReady).log("readiness changed");
			}
		}
		catch (RuntimeException ex) {
			// An exception would end the timer for good, although the next tick may
			// succeed.
			log.error("tick failed", ex);
		}
	}

	/**
	 * Shuts down gracefully: stops accepting connections, lets requests complete and
	 * closes idle connections. Returns when no connection remains or the time is up.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.eventLoop.execute(() -> this.stopping = true);
		this.eventLoop.execute(this.fleetExchange.streamOrigins()::handOver);
		new GracefulShutdown(this.eventLoop, this.clock, this.callerServer, this.tunnelServer, this.requestDispatcher)
			.run(this.settings.shutdownTimeout());
	}

	/**
	 * The versions of the endpoints that the store lists.
	 */
	private final class StoredVersions implements ListedVersions {

		@Override
		public Set<String> of(ServiceName service) {
			return Gateway.this.servingEndpoints.versions(service);
		}

		@Override
		public @Nullable Long confirmedAt() {
			return Gateway.this.sharedState.endpointsConfirmedAt();
		}

		@Override
		public boolean confirmedSince(long time) {
			return Gateway.this.sharedState.endpointsConfirmedSince(time, Gateway.this.clock.nanos());
		}

	}

	/**
	 * How recent the endpoints are that the store was asked for.
	 */
	private final class Freshness implements EndpointFreshness {

		@Override
		public boolean current() {
			return Gateway.this.sharedState.endpointsCurrent(Gateway.this.clock.nanos());
		}

		@Override
		public boolean confirmedSince(long time) {
			return Gateway.this.sharedState.endpointsConfirmedSince(time, Gateway.this.clock.nanos());
		}

		@Override
		public boolean storeFailing() {
			return Gateway.this.sharedState.storeFailing();
		}

	}

	/**
	 * The clocks of a gateway.
	 *
	 * @param monotonic the monotonic clock
	 * @param wall the time of day
	 */
	public record Clocks(MonotonicClock monotonic, InstantSource wall) {
	}

	/**
	 * The ports to the platform.
	 *
	 * @param topics the store
	 * @param duties the calls that one gateway makes for the whole fleet
	 * @param moves the codec of the calls that move streams
	 */
	public record Ports(TopicStore topics, Duties duties, StreamMoveCodec moves) {
	}

}
