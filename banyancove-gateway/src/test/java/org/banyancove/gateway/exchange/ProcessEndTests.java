package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
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
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.resumption.StreamOrigin;
import org.banyancove.gateway.resumption.StreamOrigins;
import org.banyancove.gateway.retry.RetryBudgets;
import org.banyancove.gateway.retry.RetryLimits;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the answers on callers' connections that a gateway closes, above all those of a
 * process that ends.
 */
class ProcessEndTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final DataCenterName DATA_CENTER = new DataCenterName("zone");

	private static final String COMPLETE = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 5\r\n\r\nhello";

	private static final int LARGE_BODY_BYTES = 200_000;

	private static final int SMALL_BUFFER_BYTES = 4096;

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final EndlessSearches searches = new EndlessSearches();

	private final RequestDispatcher dispatcher = newDispatcher();

	private final CallerServer server = new CallerServer(this.eventLoops, System::nanoTime, () -> CallerLimits.DEFAULT,
			this.dispatcher);

	private final ScriptedEndpoint endpoint = newEndpoint();

	private @Nullable Channel serverChannel;

	private static ScriptedEndpoint newEndpoint() {
		try {
			return new ScriptedEndpoint();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private RequestDispatcher newDispatcher() {
		ConnectionPool connections = new ConnectionPool(this.eventLoop, System::nanoTime, NioSocketChannel::new);
		RequestDispatcher created = new RequestDispatcher(this.eventLoop, System::nanoTime, InstantSource.system(),
				new SplittableRandom(1), new TestHeaderCodec(), connections,
				new ServingEndpoints(this.endpoints, new RolloutTable()), new CurrentEndpoints(),
				new PlacementRule(DATA_CENTER, () -> 0),
				new Meters(new UsageCounter(Duration.ofSeconds(5)), new DemandEstimator()), new NoOpRequestLog(),
				new RetryBudgets(new RetryLimits(1, 100, Duration.ofSeconds(10)), () -> 0.9, System.nanoTime()),
				new RequestQuarantine(this.endpoints), this.searches, new TestMoveCodec());
		created.updateFleet(1, FleetView.ALONE, List.of());
		return created;
	}

	@BeforeEach
	void start() throws Exception {
		Configuration configuration = new Configuration(1,
				List.of(route("/once/", RouteKind.NON_IDEMPOTENT, 1), route("/resumed/", RouteKind.STREAMING, 2)),
				List.of(new Service(SERVICE, 100, null, null)), List.of(), CallerLimits.DEFAULT);
		EndpointEntry entry = new EndpointEntry(new EndpointId("a"), SERVICE, "v1", this.endpoint.address(),
				DATA_CENTER, 10, false, false, 1);
		this.eventLoop.submit(() -> {
			this.endpoints.configure(configuration);
			this.endpoints.put(entry);
			this.dispatcher.configure(configuration);
		}).sync();
		this.serverChannel = this.server
			.listen(ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
	}

	private static Route route(String prefix, RouteKind kind, int attempts) {
		return new Route(prefix, "host", prefix, kind, attempts > 1, Duration.ofSeconds(5), Duration.ofSeconds(5),
				Duration.ofSeconds(5), 0, List.of(new WeightedService(SERVICE, 1)), attempts, true);
	}

	@AfterEach
	void stop() throws Exception {
		this.endpoint.close();
		this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
	}

	// Guards against a connection that ends without an answer, because the origin of the
	// stream was still sought at the end of the process.
	@Test
	void resumedStreamWhoseOriginIsStillSoughtAtTheEndIsAnswered() throws Exception {
		try (TestCaller caller = newCaller()) {
			caller.send(request("POST /resumed/x", "id: 1", "last-event: 3", "content-length: 0"));
			this.searches.awaitBegin();
			beginShutdown(Duration.ZERO);
			endProcess();
			TestCaller.Response response = caller.read();
			assertThat(response.status()).isEqualTo(503);
			assertThat(response.head()).containsIgnoringCase("retry-after: ").contains("connection: close");
		}
		assertThat(this.endpoint.unreadRequests()).isZero();
	}

	// Guards against callers that don't learn when to repeat a request that was half read
	// at the end of the process, also if its body was asked for.
	@Test
	void halfReadRequestIsRejectedAtTheEndWithATimeToRetry() throws Exception {
		try (TestCaller caller = newCaller()) {
			caller.send(request("POST /once/x", "id: 1", "expect: 100-continue", "content-length: 5"));
			TimeUnit.MILLISECONDS.sleep(200);
			beginShutdown(Duration.ZERO);
			endProcess();
			assertThat(caller.readToEnd()).startsWith("HTTP/1.1 100 Continue\r\n")
				.contains("HTTP/1.1 503 ")
				.containsIgnoringCase("retry-after: ");
		}
	}

	// Guards against requests that a gateway has read and leaves unanswered, because its
	// shutdown began before the response to an earlier one on their connection.
	@Test
	void pipelinedRequestsThatWereReadAreAnsweredDuringAShutdown() throws Exception {
		this.endpoint.thenRespondLate(Duration.ofMillis(500), COMPLETE).thenRespond(COMPLETE).thenRespond(COMPLETE);
		try (TestCaller caller = newCaller()) {
			caller.send(request("1") + request("2") + request("3"));
			this.endpoint.nextRequest();
			beginShutdown(Duration.ofSeconds(8));
			assertThat(caller.read().head()).contains("200 OK").contains("connection: keep-alive");
			assertThat(caller.read().head()).contains("200 OK").contains("connection: keep-alive");
			assertThat(caller.read().head()).contains("200 OK").contains("connection: close");
			assertThat(caller.readToEnd()).isEmpty();
		}
	}

	// Guards against the same at the end of the process.
	@Test
	void pipelinedRequestsThatWereReadAreAnsweredAtTheEnd() throws Exception {
		try (TestCaller caller = newCaller()) {
			caller.send(request("1") + request("2"));
			this.endpoint.nextRequest();
			beginShutdown(Duration.ZERO);
			endProcess();
			assertThat(caller.read().status()).isEqualTo(504);
			assertThat(caller.read().status()).isEqualTo(503);
			assertThat(caller.readToEnd()).isEmpty();
		}
		assertThat(this.endpoint.unreadRequests()).isZero();
	}

	// Guards against a request that is forwarded after the others were answered for the
	// end of the process, and lost with it.
	@Test
	void requestAfterTheEndIsRejectedAsNotRun() throws Exception {
		this.endpoint.thenRespond(COMPLETE);
		try (TestCaller caller = newCaller()) {
			beginShutdown(Duration.ofSeconds(8));
			endProcess();
			caller.send(request("1"));
			assertThat(caller.read().status()).isEqualTo(503);
		}
		assertThat(this.endpoint.unreadRequests()).isZero();
	}

	// Guards against a response that is destroyed by the reset with which a closed socket
	// answers the caller's next request.
	@Test
	void responseArrivesWholeIfTheNextRequestCrossesTheClose() throws Exception {
		String body = "x".repeat(LARGE_BODY_BYTES);
		this.endpoint.thenRespond(
				"HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
		try (TestCaller caller = new TestCaller(address(), SMALL_BUFFER_BYTES)) {
			beginShutdown(Duration.ofSeconds(8));
			caller.send(request("1"));
			this.endpoint.nextRequest();
			TimeUnit.MILLISECONDS.sleep(300);
			caller.send(request("2"));
			TimeUnit.MILLISECONDS.sleep(100);
			assertThat(caller.read().body()).hasSize(LARGE_BODY_BYTES);
			assertThat(caller.readToEnd()).isEmpty();
		}
	}

	// Guards against a response that is cut off because its connection was closed as idle
	// while the caller was reading it.
	@Test
	void connectionWhoseResponseIsNotWrittenIsNotClosedAsIdle() throws Exception {
		String body = "x".repeat(30 * LARGE_BODY_BYTES);
		this.endpoint.thenRespond(
				"HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
		try (TestCaller caller = new TestCaller(address(), SMALL_BUFFER_BYTES)) {
			caller.send(request("1"));
			this.endpoint.nextRequest();
			TimeUnit.MILLISECONDS.sleep(500);
			beginShutdown(Duration.ofSeconds(8));
			this.eventLoop.submit(this.server::closeIdle).sync();
			assertThat(caller.read().body()).hasSize(body.length());
		}
	}

	// Guards against a connection that is closed as idle while its first request is in
	// transit, which is then discarded.
	@Test
	void newConnectionIsNotClosedAsIdleBeforeItsFirstRequest() throws Exception {
		this.endpoint.thenRespond(COMPLETE);
		try (TestCaller caller = newCaller(); TestCaller silent = newCaller()) {
			TimeUnit.MILLISECONDS.sleep(200);
			beginShutdown(Duration.ofSeconds(8));
			this.eventLoop.submit(this.server::closeIdle).sync();
			caller.send(request("1"));
			assertThat(caller.read().status()).isEqualTo(200);
			TimeUnit.MILLISECONDS.sleep(1000);
			this.eventLoop.submit(this.server::closeIdle).sync();
			assertThat(silent.readToEnd()).isEmpty();
		}
	}

	private static String request(String id) {
		return request("POST /once/x", "id: " + id, "content-length: 0");
	}

	private static String request(String target, String... headers) {
		return target + " HTTP/1.1\r\nhost: host\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
	}

	private void beginShutdown(Duration left) throws InterruptedException {
		this.eventLoop.submit(() -> {
			this.dispatcher.stop(System.nanoTime() + left.toNanos());
			this.server.stop();
		}).sync();
	}

	private void endProcess() throws InterruptedException {
		this.eventLoop.submit(() -> {
			this.dispatcher.endRequests();
			this.server.rejectUnread();
		}).sync();
	}

	private InetSocketAddress address() {
		if (this.serverChannel == null) {
			throw new IllegalStateException("server must be started");
		}
		return (InetSocketAddress) this.serverChannel.localAddress();
	}

	private TestCaller newCaller() throws IOException {
		return new TestCaller(address());
	}

	/**
	 * Searches for the origins of streams that don't end.
	 */
	private static final class EndlessSearches implements StreamOrigins {

		private final CountDownLatch begun = new CountDownLatch(1);

		@Override
		public void record(StreamKey stream, Route route, StreamOrigin origin) {
		}

		@Override
		public void find(StreamKey stream, Route route, Consumer<@Nullable KnownOrigin> listener) {
			this.begun.countDown();
		}

		void awaitBegin() throws InterruptedException {
			assertThat(this.begun.await(10, TimeUnit.SECONDS)).isTrue();
		}

	}

}
