package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.configuration.WeightedService;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.exchange.ConnectionPool;
import org.banyancove.gateway.exchange.ListeningSocket;
import org.banyancove.gateway.exchange.TestHeaderCodec;
import org.banyancove.gateway.exchange.TestMoveCodec;
import org.banyancove.gateway.retry.RetryLimits;
import org.banyancove.gateway.rollout.ExposureLimits;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.shared.Duties;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.Topic;
import org.jspecify.annotations.Nullable;

/**
 * Whole gateways on loopback addresses, in three data centres, before stub endpoints.
 */
final class GatewayFleet implements AutoCloseable {

	static final int DATA_CENTERS = 3;

	private static final int CALLERS_PORT = 8080;

	private static final int PEERS_PORT = 7500;

	private static final int MAXIMUM_BIND_ATTEMPTS = 5;

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	static final Duration LATENCY_TARGET = Duration.ofMillis(300);

	private static final int MAXIMUM_CONNECTIONS = 1000;

	private static final Duration EVENT_INTERVAL = Duration.ofMillis(400);

	private static final AtomicInteger FLEETS = new AtomicInteger();

	private final int number = FLEETS.incrementAndGet();

	private final InMemoryTopicStore store = new InMemoryTopicStore();

	private final Map<String, Integer> runs = StubEndpoint.newRuns();

	private final List<StubEndpoint> endpoints = new ArrayList<>();

	private final Set<InetSocketAddress> endpointAddresses = ConcurrentHashMap.newKeySet();

	private final List<Node> nodes = new ArrayList<>();

	private final int maximumConnections;

	private final Duration requestCost;

	private volatile Duration shutdownTimeout = Duration.ofSeconds(8);

	GatewayFleet(int gateways, int endpoints, Duration responseTime) throws IOException, InterruptedException {
		this(gateways, endpoints, responseTime, MAXIMUM_CONNECTIONS, Duration.ZERO);
	}

	/**
	 * Starts a fleet.
	 * @param gateways the number of gateways
	 * @param endpoints the number of endpoints
	 * @param responseTime the time that an endpoint takes for an answer or an event
	 * @param maximumConnections the connections that an endpoint accepts
	 * @param requestCost the time for which a request keeps the event loop of its gateway
	 * busy
	 */
	GatewayFleet(int gateways, int endpoints, Duration responseTime, int maximumConnections, Duration requestCost)
			throws IOException, InterruptedException {
		this.maximumConnections = maximumConnections;
		this.requestCost = requestCost;
		this.store.append(Topic.CONFIGURATION, "configuration", new byte[0]);
		for (int i = 0; i < endpoints; i++) {
			StubEndpoint endpoint = new StubEndpoint(this.runs, responseTime);
			this.endpoints.add(endpoint);
			list(i, endpoint.address(), "v1", 1, false);
		}
		for (int i = 0; i < gateways; i++) {
			this.nodes.add(new Node(i));
		}
		for (Node node : this.nodes) {
			node.start();
		}
	}

	/** Lists an endpoint, or changes its entry. */
	void list(int endpoint, InetSocketAddress address, String version, long startedAt, boolean draining) {
		this.endpointAddresses.add(address);
		String value = String.join(" ", String.valueOf(address.getPort()), dataCenter(endpoint).value(), version,
				String.valueOf(startedAt), String.valueOf(draining));
		this.store.append(Topic.ENDPOINTS, "endpoint-" + endpoint, value.getBytes(StandardCharsets.US_ASCII));
	}

	/** Removes an endpoint from the list. */
	void unlist(int endpoint) {
		this.store.append(Topic.ENDPOINTS, "endpoint-" + endpoint, null);
	}

	List<Node> nodes() {
		return this.nodes;
	}

	Map<String, Integer> runs() {
		return this.runs;
	}

	List<StubEndpoint> endpoints() {
		return this.endpoints;
	}

	StubEndpoint endpoint(int number) {
		return this.endpoints.get(number);
	}

	private static DataCenterName dataCenter(int number) {
		return new DataCenterName("dc-" + number % DATA_CENTERS);
	}

	/** Publishes a configuration whose routes have another timeout. */
	void configure(long version, Duration timeout) {
		this.store.append(Topic.CONFIGURATION, "configuration",
				(version + " " + timeout.toMillis()).getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Sets the time from the signal to stop to the end of the process, for gateways that
	 * start.
	 */
	void setShutdownTimeout(Duration timeout) {
		this.shutdownTimeout = timeout;
	}

	private Configuration configuration(byte[] value) {
		if (value.length == 0) {
			return configuration(1, TIMEOUT);
		}
		String[] fields = new String(value, StandardCharsets.US_ASCII).split(" ", -1);
		return configuration(Long.parseLong(fields[0]), Duration.ofMillis(Long.parseLong(fields[1])));
	}

	private Configuration configuration(long version, Duration timeout) {
		return new Configuration(version,
				List.of(route("/once/", RouteKind.NON_IDEMPOTENT, false, 1, timeout),
						route("/again/", RouteKind.IDEMPOTENT, false, 2, timeout),
						route("/stream/", RouteKind.STREAMING, false, 1, timeout),
						route("/resumed/", RouteKind.STREAMING, true, 2, timeout)),
				List.of(new Service(SERVICE, this.maximumConnections, null, null)), List.of(), CallerLimits.DEFAULT);
	}

	private static Route route(String prefix, RouteKind kind, boolean resumable, int attempts, Duration timeout) {
		return new Route(prefix, "host", prefix, kind, resumable, timeout, LATENCY_TARGET, EVENT_INTERVAL, 0,
				List.of(new WeightedService(SERVICE, 1)), attempts, true);
	}

	@Override
	public void close() throws Exception {
		for (Node node : this.nodes) {
			node.kill();
		}
		for (StubEndpoint endpoint : this.endpoints) {
			endpoint.close();
		}
	}

	/**
	 * One gateway with its own event loop.
	 */
	final class Node {

		private final int number;

		private final Partition partition = new Partition(GatewayFleet.this.endpointAddresses);

		private volatile InetSocketAddress peers;

		private volatile InetSocketAddress callers;

		private MultiThreadIoEventLoopGroup eventLoops = newEventLoops();

		private int starts;

		private @Nullable Gateway gateway;

		private @Nullable ServerSocketChannel callersSocket;

		Node(int number) throws IOException {
			this.number = number;
			InetAddress address = ownAddress(number);
			this.peers = new InetSocketAddress(address, PEERS_PORT);
			this.callers = new InetSocketAddress(address, CALLERS_PORT);
		}

		int dataCenter() {
			return this.number % DATA_CENTERS;
		}

		InetSocketAddress callers() {
			return this.callers;
		}

		Partition partition() {
			return this.partition;
		}

		// With an address of its own, a gateway can have fixed ports. Ports that are
		// chosen
		// freely may be taken by its own connections before it listens.
		private InetAddress ownAddress(int number) throws IOException {
			int process = (int) (ProcessHandle.current().pid() % 250);
			return InetAddress.getByAddress(
					new byte[] { 127, (byte) (1 + process), (byte) GatewayFleet.this.number, (byte) (1 + number) });
		}

		private static MultiThreadIoEventLoopGroup newEventLoops() {
			return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		}

		// A killed gateway may leave a socket open. The next one then listens on other
		// ports, as if another VM had replaced it.
		void start() throws IOException, InterruptedException {
			for (int attempt = 1;; attempt++) {
				try {
					startOnce();
					return;
				}
				catch (BindException ex) {
					if (attempt == MAXIMUM_BIND_ATTEMPTS) {
						throw ex;
					}
					kill();
					this.eventLoops = newEventLoops();
					this.peers = nextPort(this.peers);
					this.callers = nextPort(this.callers);
				}
			}
		}

		private static InetSocketAddress nextPort(InetSocketAddress address) {
			return new InetSocketAddress(address.getAddress(), address.getPort() + 1);
		}

		private void startOnce() throws IOException, InterruptedException {
			this.starts++;
			GatewaySettings settings = new GatewaySettings("gateway-" + this.number,
					GatewayFleet.dataCenter(this.number), this.callers,
					new InetSocketAddress(this.peers.getAddress(), 0), null, this.peers,
					new RetryLimits(0.2, 50, Duration.ofSeconds(10)), Duration.ofSeconds(3), Duration.ofSeconds(5),
					false, false, GatewayFleet.this.shutdownTimeout, ExposureLimits.DEFAULT, 1, Duration.ofSeconds(2));
			ConnectionPool connections = new ConnectionPool(this.eventLoops.next(), System::nanoTime,
					this.partition::newChannel);
			Gateway started = new Gateway(settings, this.eventLoops,
					new Gateway.Clocks(System::nanoTime, InstantSource.system()),
					new SplittableRandom(this.number + 1000L * this.starts),
					new TestHeaderCodec(GatewayFleet.this.requestCost), new FleetRecordCodec(),
					new Gateway.Ports(GatewayFleet.this.store.client(this.eventLoops.next()), new NoDuties(),
							new TestMoveCodec()),
					connections);
			ServerSocketChannel socket = ListeningSocket.open(this.callers);
			this.callersSocket = socket;
			started.start(socket);
			this.gateway = started;
		}

		/** Shuts down gracefully, then ends the process. */
		void stop() throws InterruptedException, IOException {
			shutDown();
			kill();
		}

		/** Shuts down gracefully, up to the moment at which the process would end. */
		void shutDown() throws InterruptedException {
			Objects.requireNonNull(this.gateway, "started").stop();
		}

		void freeze(Duration duration) {
			this.eventLoops.next().execute(() -> {
				try {
					TimeUnit.NANOSECONDS.sleep(duration.toNanos());
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
		}

		void kill() throws InterruptedException, IOException {
			this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
			// The event loop leaves the socket open if it ends while connections fail.
			if (this.callersSocket != null) {
				this.callersSocket.close();
			}
		}

		void restart() throws IOException, InterruptedException {
			kill();
			this.eventLoops = newEventLoops();
			start();
		}

	}

	/**
	 * Reads records that hold the port, data centre, version, start and state of an
	 * endpoint.
	 */
	private final class FleetRecordCodec implements RecordCodec {

		@Override
		public Configuration readConfiguration(byte[] value) {
			return configuration(value);
		}

		@Override
		public boolean isConfiguration(String key) {
			return true;
		}

		@Override
		public @Nullable RolloutOrder readRollout(String key, byte[] value, long offset) {
			return null;
		}

		@Override
		public StatusRecord writeStatus(Rollout rollout) {
			throw new UnsupportedOperationException("writeStatus");
		}

		@Override
		public EndpointEntry readEndpoint(EndpointId id, byte[] value) {
			String[] fields = new String(value, StandardCharsets.US_ASCII).split(" ", -1);
			return new EndpointEntry(id, SERVICE, fields[2],
					new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(fields[0])),
					new DataCenterName(fields[1]), 100, Boolean.parseBoolean(fields[4]), false,
					Long.parseLong(fields[3]));
		}

	}

	/**
	 * Duties that no gateway of the fleet has.
	 */
	private static final class NoDuties implements Duties {

		@Override
		public CompletableFuture<Boolean> reportUsage(long fence, long window, Map<AccountName, Long> counts) {
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public CompletableFuture<Boolean> orderEndpoints(long fence, ServiceName service, DataCenterName dataCenter,
				boolean reclaimable, int count) {
			return CompletableFuture.completedFuture(true);
		}

	}

}
