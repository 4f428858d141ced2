package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.EngineMemory;
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
import org.banyancove.gateway.endpoint.LoadReport;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.retry.RetryBudgets;
import org.banyancove.gateway.retry.RetryLimits;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestWaitingTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final DataCenterName DATA_CENTER = new DataCenterName("zone");

	private static final String COMPLETE = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 5\r\n\r\nhello";

	/**
	 * One second of prefill by the initial estimate: the short target, not half of it.
	 */
	private static final long BACKLOG_TOKENS = 50_000;

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final List<String> outcomes = new CopyOnWriteArrayList<>();

	private final RequestDispatcher dispatcher = newDispatcher();

	private final ScriptedEndpoint endpoint = new ScriptedEndpoint();

	RequestWaitingTests() throws IOException {
	}

	private RequestDispatcher newDispatcher() {
		RequestLog requestLog = (RequestLog) Proxy.newProxyInstance(RequestLog.class.getClassLoader(),
				new Class<?>[] { RequestLog.class }, (proxy, method, arguments) -> {
					if (arguments[0] instanceof RequestLog.WaitedRequest waited) {
						this.outcomes.add(waited.outcome());
					}
					return null;
				});
		RequestDispatcher created = new RequestDispatcher(this.eventLoop, System::nanoTime, InstantSource.system(),
				new SplittableRandom(1), new TestHeaderCodec(),
				new ConnectionPool(this.eventLoop, System::nanoTime, NioSocketChannel::new),
				new ServingEndpoints(this.endpoints, new RolloutTable()), new AlwaysFresh(),
				new PlacementRule(DATA_CENTER, () -> 0),
				new Meters(new UsageCounter(Duration.ofSeconds(5)), new DemandEstimator()), requestLog,
				new RetryBudgets(new RetryLimits(1, 100, Duration.ofSeconds(10)), () -> 0.9, System.nanoTime()),
				new RequestQuarantine(this.endpoints), new LocalStreamOrigins());
		created.updateFleet(1, FleetView.ALONE, List.of());
		return created;
	}

	@AfterEach
	void stop() throws Exception {
		this.endpoint.close();
		this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
	}

	// Guards against a backlog of long prompts at the endpoint, which makes the requests
	// with a shorter target late.
	@Test
	void requestWithALongerTargetIsSentOnceTheBacklogHasGone() throws Exception {
		InetSocketAddress address = start(Duration.ofSeconds(10), true);
		this.endpoint.thenRespond(COMPLETE);
		try (Socket caller = call(address, "/long/x")) {
			awaitWaiting(1);
			TimeUnit.MILLISECONDS.sleep(100);
			assertThat(this.endpoint.unreadRequests()).isZero();
			setBacklog(0);
			assertThat(response(caller)).startsWith("HTTP/1.1 200");
		}
		assertThat(this.outcomes).containsExactly("sent");
		assertThat(this.dispatcher.queues().size()).isZero();
	}

	// Guards against a request with the shortest target that waits behind others.
	@Test
	void requestWithTheShortestTargetIsSentPastTheQueue() throws Exception {
		InetSocketAddress address = start(Duration.ofSeconds(10), true);
		this.endpoint.thenRespond(COMPLETE);
		try (Socket waiting = call(address, "/long/x")) {
			awaitWaiting(1);
			try (Socket caller = call(address, "/short/x")) {
				assertThat(response(caller)).startsWith("HTTP/1.1 200");
			}
			assertThat(waiting.getInputStream().available()).isZero();
			assertThat(this.dispatcher.queues().size()).isEqualTo(1);
		}
	}

	// Guards against other services, whose endpoints announce no slowdown, being served
	// differently.
	@Test
	void requestDoesNotWaitIfNoSlowdownIsAnnounced() throws Exception {
		InetSocketAddress address = start(Duration.ofSeconds(10), false);
		this.endpoint.thenRespond(COMPLETE);
		try (Socket caller = call(address, "/long/x")) {
			assertThat(response(caller)).startsWith("HTTP/1.1 200");
		}
		assertThat(this.outcomes).isEmpty();
	}

	// Guards against an engine that works for a caller that has left.
	@Test
	void requestWhoseCallerLeavesIsNeverSent() throws Exception {
		InetSocketAddress address = start(Duration.ofSeconds(10), true);
		Socket caller = call(address, "/long/x");
		awaitWaiting(1);
		caller.close();
		awaitWaiting(0);
		setBacklog(0);
		TimeUnit.MILLISECONDS.sleep(100);
		assertThat(this.endpoint.unreadRequests()).isZero();
		assertThat(this.outcomes).containsExactly("left");
	}

	// Guards against callers that are cut off when the process ends.
	@Test
	void waitingAndFurtherRequestsAreRejectedAtShutdownAsNotRun() throws Exception {
		InetSocketAddress address = start(Duration.ofSeconds(10), true);
		try (Socket waiting = call(address, "/long/x")) {
			awaitWaiting(1);
			this.eventLoop.submit(this.dispatcher.queues()::close).sync();
			assertThat(response(waiting)).startsWith("HTTP/1.1 503").contains("retry-after: 0.").contains("stopping");
		}
		try (Socket late = call(address, "/long/x")) {
			assertThat(response(late)).startsWith("HTTP/1.1 503").contains("stopping");
		}
		assertThat(this.endpoint.unreadRequests()).isZero();
		assertThat(this.outcomes).containsExactly("shutdown", "shutdown");
	}

	// Guards against a request that is sent late after the process stood still, although
	// an endpoint has room.
	@Test
	void requestThatExpiredDuringAPauseIsRejectedBeforeAnythingIsSent() throws Exception {
		InetSocketAddress address = start(Duration.ofMillis(1500), true);
		try (Socket caller = call(address, "/long/x")) {
			awaitWaiting(1);
			this.eventLoop.submit(() -> {
				pause(Duration.ofMillis(1600));
				this.endpoints.all().forEach((each) -> each.updateRemoteLoad(0, 0));
			}).sync();
			assertThat(response(caller)).startsWith("HTTP/1.1 503").contains("retry-after: 0.").contains("overloaded");
		}
		assertThat(this.endpoint.unreadRequests()).isZero();
		assertThat(this.outcomes).containsExactly("expired");
	}

	private static void pause(Duration duration) {
		try {
			TimeUnit.NANOSECONDS.sleep(duration.toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private InetSocketAddress start(Duration longTarget, boolean slowdownAnnounced) throws Exception {
		Configuration configuration = new Configuration(1,
				List.of(route("/long/", longTarget, 1), route("/short/", Duration.ofSeconds(1), 0)),
				List.of(new Service(SERVICE, 100, new EngineMemory(100_000, Double.POSITIVE_INFINITY), null)),
				List.of(), CallerLimits.DEFAULT);
		this.eventLoop.submit(() -> {
			this.endpoints.configure(configuration);
			this.dispatcher.configure(configuration);
			this.endpoints.put(new EndpointEntry(new EndpointId("a"), SERVICE, "v1", this.endpoint.address(),
					DATA_CENTER, 10, false, false, 1));
			this.endpoints.all()
				.forEach((each) -> each.updateLoad(new LoadReport(0, 0, 10, slowdownAnnounced ? 1.0 : null),
						System.nanoTime()));
		}).sync();
		setBacklog(BACKLOG_TOKENS);
		CallerServer server = new CallerServer(this.eventLoops, System::nanoTime,
				() -> new CallerLimits(4096, 10_000, Duration.ofSeconds(3), Duration.ofSeconds(15)), this.dispatcher);
		return (InetSocketAddress) server
			.listen(ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
			.localAddress();
	}

	private static Route route(String prefix, Duration target, int priority) {
		return new Route(prefix, "host", prefix, RouteKind.NON_IDEMPOTENT, false, Duration.ofSeconds(20), target,
				target, priority, List.of(new WeightedService(SERVICE, 1)), 1, true);
	}

	private void setBacklog(long tokens) throws InterruptedException {
		this.eventLoop.submit(() -> this.endpoints.all().forEach((each) -> each.updateRemoteLoad(0, tokens))).sync();
	}

	private void awaitWaiting(int requests) throws Exception {
		long deadline = System.nanoTime() + Duration.ofSeconds(10).toNanos();
		while (this.eventLoop.submit(this.dispatcher.queues()::size).get() != requests) {
			assertThat(System.nanoTime()).isLessThan(deadline);
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	private static Socket call(InetSocketAddress address, String path) throws IOException {
		Socket connection = new Socket(address.getAddress(), address.getPort());
		connection.setSoTimeout(30_000);
		connection.getOutputStream()
			.write(("POST " + path
					+ " HTTP/1.1\r\nhost: host\r\nid: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		return connection;
	}

	private static String response(Socket caller) throws IOException {
		return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).replace("Retry", "retry");
	}

	/**
	 * Endpoints that are always current.
	 */
	private static final class AlwaysFresh implements EndpointFreshness {

		@Override
		public boolean current() {
			return true;
		}

		@Override
		public boolean confirmedSince(long time) {
			return true;
		}

	}

}
