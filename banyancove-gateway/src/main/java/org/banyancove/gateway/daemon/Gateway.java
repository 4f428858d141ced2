package org.banyancove.gateway.daemon;

import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
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
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.LeaseKeeper;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.UsageCounter;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.exchange.CallerServer;
import org.banyancove.gateway.exchange.ClientConnections;
import org.banyancove.gateway.exchange.DrainPhase;
import org.banyancove.gateway.exchange.Meters;
import org.banyancove.gateway.exchange.RequestFlow;
import org.banyancove.gateway.shared.Duties;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.SharedTopics;
import org.banyancove.gateway.shared.StateReader;
import org.banyancove.gateway.shared.SteadyClock;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.program.MetricsText;
import org.banyancove.program.SocketAddressText;
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

	/** Between two held reads of the gateways' addresses. */
	private static final Duration GATEWAYS_INTERVAL = Duration.ofMillis(100);

	/**
	 * While the holder of the lease is heard, its topic is read only to be near its end.
	 */
	private static final Duration LEASES_INTERVAL = Duration.ofSeconds(8);

	/** When it is not heard: several times within a lease. */
	private static final Duration LEASES_INTERVAL_UNHEARD = Duration.ofMillis(700);

	/** How often the address is written again, in case it was lost. */
	private static final Duration ADDRESS_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Reports that a gateway must miss until it counts as not heard; a data centre none
	 * of whose gateways is heard counts as cut off. One report is lost now and then.
	 */
	private static final int MISSED_REPORTS = 2;

	/** The same as a time: three ticks, so that a slow VM is not taken for a cut. */
	private static final Duration SHORTEST_SILENCE = Duration.ofMillis(600);

	private static final Duration TICK = Duration.ofMillis(200);

	/**
	 * Within a stop: callers are sent elsewhere after two missed checks, a second apart.
	 */
	private static final Duration STOP_IDLE_AFTER = Duration.ofMillis(2500);

	/**
	 * At the end of a stop, nothing more is taken for as long as a plain request may
	 * last: a request that was taken in the last moment would be cut off while it runs.
	 */
	private static final Duration STOP_TAKES_NONE_FOR = Duration.ofSeconds(2);

	/** Left over at the end of a stop, so that the last answers leave the VM. */
	private static final Duration STOP_MARGIN = Duration.ofMillis(400);

	private final GatewaySettings settings;

	private final EventLoopGroup eventLoops;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final SharedTopics topics;

	private final long incarnation;

	private final EndpointTable endpoints = new EndpointTable();

	private final PeerTable peerTable = new PeerTable();

	private final ReportCodec codec = new ReportCodec();

	private final UsageCounter usage;

	private final GatewayMetrics metrics;

	private final PlacementRule placement;

	private final RequestFlow flow;

	private final CallerServer callers;

	private final StatusServer status;

	private final DutyWork duties;

	private final PeerExchange peers;

	private final DemandEstimator work = new DemandEstimator();

	private final StateWatch state;

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
			HeaderCodec headerCodec, StateReader reader, Ports ports, ClientConnections connections) {
		this.settings = settings;
		this.eventLoop = eventLoops.next();
		this.clock = clocks.steady();
		this.topics = ports.topics();
		this.incarnation = random.nextLong() >>> 1;
		PrometheusRegistry registry = new PrometheusRegistry();
		this.metrics = new GatewayMetrics(registry);
		this.usage = new UsageCounter(settings.usageWindow());
		this.placement = new PlacementRule(settings.zone());
		this.flow = new RequestFlow(this.eventLoop, this.clock, clocks.wall(), random, headerCodec, connections,
				this.endpoints, this.placement, new Meters(this.usage, this.work), this.metrics,
				settings.retryLimits());
		this.callers = new CallerServer(eventLoops, this.clock, this::limits, this.flow);
		this.peers = new PeerExchange(settings.name(), this::peerReported);
		this.eventLoops = eventLoops;
		this.status = new StatusServer(eventLoops, this::ready, new MetricsText(registry));
		LeaseKeeper keeper = new LeaseKeeper(this.incarnation, settings.lease(), random.nextDouble(),
				this.clock.nanos());
		this.duties = new DutyWork(this.topics, ports.duties(), this.clock, clocks.wall(), keeper, this.usage,
				this.peerTable, this.work, this.endpoints);
		this.state = new StateWatch(this.topics, this.eventLoop, this.clock, reader, this.endpoints, this::leftToOthers,
				(records) -> this.peers.send(this.codec.write(records)), this::configure);
	}

	private boolean leftToOthers() {
		return this.peerTable.readingIsLeftToOthers(this.incarnation, silence(), this.clock.nanos());
	}

	/**
	 * Starts to listen and to follow shared state.
	 * @param callersSocket where callers' connections arrive
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void start(ServerSocketChannel callersSocket) throws InterruptedException {
		this.callers.listen(callersSocket);
		this.peers.listen(this.eventLoops, this.settings.peers());
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
		new TopicFollower(Topic.GATEWAYS, this.topics, this.eventLoop, this.clock, () -> GATEWAYS_INTERVAL,
				GATEWAYS_WAIT, () -> false, this.peers)
			.start();
		if (this.settings.reportsUsage() || this.settings.ordersEndpoints()) {
			leaseFollower().start();
		}
		this.eventLoop.scheduleWithFixedDelay(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
		report();
		writeAddress();
	}

	private TopicFollower leaseFollower() {
		return new TopicFollower(Topic.LEASES, this.topics, this.eventLoop, this.clock,
				() -> this.peerTable.hasLeaseHolder(this.clock.nanos()) ? LEASES_INTERVAL : LEASES_INTERVAL_UNHEARD,
				Duration.ZERO, () -> false, this.duties);
	}

	private CallerLimits limits() {
		return (this.configuration != null) ? this.configuration.limits() : CallerLimits.DEFAULT;
	}

	private boolean ready() {
		return !this.stopping && this.state.complete();
	}

	// ---- what is followed

	private void configure(Configuration newest) {
		this.configuration = newest;
		this.endpoints.configure(newest);
		this.duties.configure(newest);
		this.flow.configure(newest);
	}

	private void peerReported(byte[] datagram) {
		try {
			switch (this.codec.readMessage(datagram)) {
				case PeerMessage.Report told ->
					this.flow.usedElsewhere(this.peerTable.read(told.report(), this.clock.nanos()));
				case PeerMessage.Relay told -> this.state.relayed(told.relayed());
			}
		}
		catch (RuntimeException ex) {
			log.atWarn().addKeyValue("cause", ex.toString()).log("peer's message unreadable");
		}
	}

	// ---- what is told

	private void report() {
		try {
			GatewayReport told = new GatewayReport(this.incarnation, this.settings.zone(), this.usage.counts(),
					this.flow.used(), this.work.perService(this.clock.nanos()), loads(), this.duties.holds(),
					this.state.known());
			this.peerTable.readCounts(told);
			this.peers.send(this.codec.write(told));
		}
		catch (RuntimeException ex) {
			// The timer would end for good; the next report may well succeed.
			log.error("report failed", ex);
		}
		this.eventLoop.schedule(this::report, this.peers.interval().toMillis(), TimeUnit.MILLISECONDS);
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

	private void readPeersLoads(long now) {
		Map<EndpointId, EndpointLoad> loads = this.peerTable.loads(now);
		for (Endpoint endpoint : this.endpoints.all()) {
			EndpointLoad others = loads.getOrDefault(endpoint.id(), EndpointLoad.NONE);
			endpoint.others(others.inFlight(), others.unreadTokens());
		}
	}

	// Tells the other gateways where this one listens; until it succeeds, they don't hear
	// it.
	private void writeAddress() {
		byte[] value = SocketAddressText.format(this.settings.peers()).getBytes(StandardCharsets.UTF_8);
		this.topics.append(Topic.GATEWAYS, this.settings.name(), value).whenComplete((outcome, failure) -> {
			if (outcome == null) {
				log.atWarn().addKeyValue("cause", String.valueOf(failure)).log("address not written");
				this.eventLoop.schedule(this::writeAddress, ADDRESS_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

	private Duration silence() {
		Duration missed = this.peers.interval().multipliedBy(MISSED_REPORTS);
		return (missed.compareTo(SHORTEST_SILENCE) > 0) ? missed : SHORTEST_SILENCE;
	}

	private void tick() {
		try {
			long now = this.clock.nanos();
			this.endpoints.expire(now).forEach((id) -> log.atInfo().addKeyValue("endpoint", id).log("endpoint gone"));
			this.peerTable.expire(now);
			this.flow.fleet(this.peerTable.others() + 1, this.peerTable.reachableShare(now));
			readPeersLoads(now);
			this.state.compare(this.peerTable.furthestReader(silence(), now), now);
			this.placement.unreachable(this.peerTable.unreachableDataCenters(this.settings.zone(), silence(), now));
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

	// ---- the stop

	/**
	 * Stops in order: takes no new connections, lets requests end, closes what is idle.
	 * Returns when that is done or the time is up.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void stop() throws InterruptedException {
		long began = this.clock.nanos();
		log.atInfo().addKeyValue("inProgress", this.flow.inProgress()).log("stopping");
		this.eventLoop.execute(() -> {
			this.stopping = true;
			this.callers.stop();
		});
		TimeUnit.MILLISECONDS.sleep(STOP_IDLE_AFTER.toMillis());
		this.eventLoop.execute(() -> this.flow.take(DrainPhase.SHORT_ONES));
		long end = began + this.settings.stopTime().minus(STOP_MARGIN).toNanos();
		long lastTaken = end - STOP_TAKES_NONE_FOR.toNanos();
		while (this.clock.nanos() < end && connectionsLeft() > 0) {
			if (this.clock.nanos() > lastTaken) {
				this.eventLoop.execute(() -> this.flow.take(DrainPhase.NONE));
			}
			TimeUnit.MILLISECONDS.sleep(TICK.toMillis());
		}
		log.atInfo().addKeyValue("inProgress", this.flow.inProgress()).log("stopped");
	}

	private int connectionsLeft() throws InterruptedException {
		try {
			return this.eventLoop.submit(this.callers::closeIdle).get();
		}
		catch (ExecutionException ex) {
			log.error("closing idle connections failed", ex);
			return 0;
		}
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
