package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.configuration.WeightedService;
import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.UsageCounter;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.retry.RetryBudgets;
import org.banyancove.gateway.retry.RetryLimits;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.http.FramingViolation;

/**
 * A gateway on the loopback address, with one endpoint that responds as a test says, and
 * with the routes {@code /once/}, {@code /again/}, {@code /stream/} and
 * {@code /resumed/}.
 */
final class TestGateway implements AutoCloseable {

	static final ServiceName SERVICE = new ServiceName("service");

	static final DataCenterName DATA_CENTER = new DataCenterName("zone");

	private static final CallerLimits LIMITS = new CallerLimits(8192, 16 << 20, Duration.ofSeconds(20),
			Duration.ofSeconds(20));

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final Queue<FramingViolation> violations = new ConcurrentLinkedQueue<>();

	private final InetSocketAddress endpoint;

	private final ConnectionPool connections;

	private final InetSocketAddress address;

	private volatile boolean partitioned;

	/**
	 * Starts the gateway.
	 * @param endpoint the address of its endpoint, which isn't listed yet
	 * @throws IOException if it can't listen
	 * @throws InterruptedException if the thread is interrupted
	 */
	TestGateway(InetSocketAddress endpoint) throws IOException, InterruptedException {
		this.endpoint = endpoint;
		this.connections = new ConnectionPool(this.eventLoop, System::nanoTime,
				() -> new PartitionedChannel((remote) -> this.partitioned && remote.equals(endpoint)));
		RequestDispatcher dispatcher = new RequestDispatcher(this.eventLoop, System::nanoTime, InstantSource.system(),
				new SplittableRandom(1), new TestHeaderCodec(), this.connections,
				new ServingEndpoints(this.endpoints, new RolloutTable()), new CurrentEndpoints(),
				new PlacementRule(DATA_CENTER, () -> 0),
				new Meters(new UsageCounter(Duration.ofSeconds(5)), new DemandEstimator()), new NoOpRequestLog(),
				new RetryBudgets(new RetryLimits(1, 100, Duration.ofSeconds(10)), () -> 0.9, System.nanoTime()),
				new RequestQuarantine(this.endpoints), new LocalStreamOrigins(), new TestMoveCodec());
		this.connections.setFramingListener((server, requestId, violation) -> this.violations.add(violation));
		Configuration configuration = new Configuration(1, List.of(route("/once/", RouteKind.NON_IDEMPOTENT, false, 1),
				route("/again/", RouteKind.IDEMPOTENT, false, 2), route("/stream/", RouteKind.STREAMING, false, 1),
				route("/resumed/", RouteKind.STREAMING, true, 1)), List.of(new Service(SERVICE, 100, null, null)),
				List.of(), LIMITS);
		this.eventLoop.submit(() -> {
			dispatcher.updateFleet(1, FleetView.ALONE, List.of());
			this.endpoints.configure(configuration);
			dispatcher.configure(configuration);
		}).sync();
		CallerServer server = new CallerServer(this.eventLoops, System::nanoTime, () -> LIMITS, dispatcher);
		this.address = (InetSocketAddress) server
			.listen(ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
			.localAddress();
	}

	private static Route route(String prefix, RouteKind kind, boolean resumable, int attempts) {
		return new Route(prefix, "host", prefix, kind, resumable, Duration.ofSeconds(20), Duration.ofSeconds(5),
				Duration.ofSeconds(5), 0, List.of(new WeightedService(SERVICE, 1)), attempts, true);
	}

	InetSocketAddress address() {
		return this.address;
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	ConnectionPool connections() {
		return this.connections;
	}

	/** Returns the framing violations that were reported so far. */
	Queue<FramingViolation> violations() {
		return this.violations;
	}

	/** Lets only connections to other addresses than the endpoint's succeed. */
	void partition() {
		this.partitioned = true;
	}

	/** Reaches the endpoint through another gateway only. */
	void tunnel() throws IOException, InterruptedException {
		LoopbackTunnel.open(this.eventLoops, this.connections);
		partition();
	}

	/**
	 * Lists the endpoint as a new one, with no failures of earlier requests.
	 * @param id the id of the endpoint
	 */
	void list(EndpointId id) throws InterruptedException {
		EndpointEntry entry = new EndpointEntry(id, SERVICE, "v1", this.endpoint, DATA_CENTER, 10, false, false, 1);
		this.eventLoop.submit(() -> this.endpoints.put(entry)).sync();
	}

	/**
	 * Removes the endpoint from the list.
	 * @param id the id of the endpoint
	 */
	void remove(EndpointId id) throws InterruptedException {
		this.eventLoop.submit(() -> this.endpoints.remove(id, System.nanoTime())).sync();
	}

	@Override
	public void close() throws InterruptedException {
		this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
	}

}
