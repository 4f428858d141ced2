package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
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
import org.banyancove.gateway.duty.UsageCounter;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.endpoint.RateLimitAllotment;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ExchangeTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final DataCenterName ZONE = new DataCenterName("zone");

	private static final String WHOLE = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 5\r\n\r\nhello";

	private static final String FAILED = "HTTP/1.1 500 Failed\r\nid: ID\r\nseal: s\r\ncontent-length: 4\r\n\r\noops";

	private static final String NOT_RUN = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

	private static final String STREAM = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n";

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final EndpointTable endpoints = new EndpointTable(
			new RateLimitAllotment("gateway", () -> List.of("gateway")));

	private final List<ScriptedEndpoint> scripted = new ArrayList<>();

	private final ClientConnections connections = new ClientConnections(this.eventLoop, System::nanoTime);

	private final RolloutTable rollouts = new RolloutTable();

	private volatile BooleanSupplier endpointsCurrent = () -> true;

	private final RequestFlow flow = newFlow();

	private final CallerServer callers = newServer(this.flow);

	private @Nullable Configuration configuration;

	private @Nullable Channel listening;

	private RequestFlow newFlow() {
		return new RequestFlow(this.eventLoop, System::nanoTime, InstantSource.system(), new SplittableRandom(1),
				new TestWords(), this.connections, new ServingEndpoints(this.endpoints, this.rollouts),
				() -> this.endpointsCurrent.getAsBoolean(), new PlacementRule(ZONE),
				new Meters(new UsageCounter(Duration.ofSeconds(5)), new DemandEstimator()), new SilentLog(),
				new RetryLimits(1, 100));
	}

	private CallerServer newServer(RequestFlow served) {
		return new CallerServer(this.eventLoops, System::nanoTime,
				() -> new CallerLimits(4096, 10_000, Duration.ofSeconds(3), Duration.ofSeconds(15)), served);
	}

	@BeforeEach
	void start() throws Exception {
		this.configuration = new Configuration(1, List.of(route("/once/", RouteKind.NON_IDEMPOTENT, false, 1),
				route("/again/", RouteKind.IDEMPOTENT, false, 2), route("/stream/", RouteKind.STREAMING, false, 1),
				route("/resumed/", RouteKind.STREAMING, true, 2)), List.of(new Service(SERVICE, 100, null, null)),
				List.of(), CallerLimits.DEFAULT);
		configure(this.flow);
		this.listening = this.callers
			.listen(ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
	}

	private void configure(RequestFlow configured) throws InterruptedException {
		Configuration known = Objects.requireNonNull(this.configuration);
		this.eventLoop.submit(() -> {
			this.endpoints.configure(known);
			configured.configure(known);
		}).sync();
	}

	@AfterEach
	void stop() throws Exception {
		for (ScriptedEndpoint endpoint : this.scripted) {
			endpoint.close();
		}
		this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
	}

	private static Route route(String prefix, RouteKind kind, boolean resumable, int attempts) {
		return new Route(prefix, "host", prefix, kind, resumable, Duration.ofSeconds(20), Duration.ofSeconds(5),
				Duration.ofSeconds(5), 0, List.of(new WeightedService(SERVICE, 1)), attempts, true);
	}

	@Test
	void passesTheRequestOnUnchangedAndTheAnswerBackWhole() throws Exception {
		ScriptedEndpoint endpoint = endpoint("a").thenAnswer(WHOLE);
		try (Caller caller = new Caller()) {
			caller.send(lines("POST /once/x?y=%20z HTTP/1.1", "host: host", "id: 1", "other: o", "key: secret",
					"transfer-encoding: chunked", "", "4", "body", "0", "", ""));
			Answer answer = caller.read();
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("hello");
			assertThat(answer.head()).contains("seal: s");
		}
		assertThat(endpoint.request()).startsWith("POST /once/x?y=%20z HTTP/1.1\r\n")
			.contains("other: o")
			.contains("endpoint: a")
			.doesNotContain("secret")
			.endsWith("\r\n\r\nbody");
	}

	// Guards against a request that is written to a draining endpoint because its
	// connection took long.
	@Test
	void aRequestGoesElsewhereIfItsEndpointDrainsWhileTheConnectionIsMade() throws Exception {
		ScriptedEndpoint first = endpoint("a").thenAnswer(WHOLE);
		ScriptedEndpoint second = endpoint("b").thenAnswer(WHOLE);
		EndpointEntry draining = new EndpointEntry(new EndpointId("a"), SERVICE, "v1", first.address(), ZONE, 10, true,
				false, 1);
		AtomicInteger checks = new AtomicInteger();
		this.endpointsCurrent = () -> {
			if (checks.incrementAndGet() == 2) {
				this.endpoints.put(draining);
			}
			return true;
		};
		try (Caller caller = new Caller()) {
			caller.send(lines("POST /once/x HTTP/1.1", "host: host", "id: 1", "", ""));
			assertThat(caller.read().status()).isEqualTo(200);
		}
		assertThat(second.waitingRequests()).isEqualTo(1);
		assertThat(first.waitingRequests()).isZero();
	}

	// Guards against callers that wait for an endpoint whose rate limit is used up.
	@Test
	void aRequestBeyondTheRateLimitOfAllEndpointsIsRejectedAtOnceWithTheTimeToRetry() throws Exception {
		endpoint("a").thenAnswer(WHOLE.replace("seal: s", "seal: s\r\nrate-limit: 0.5")).thenAnswer(WHOLE);
		try (Caller caller = new Caller()) {
			caller.send(lines("GET /again/x HTTP/1.1", "host: host", "id: 1", "", ""));
			assertThat(caller.read().status()).isEqualTo(200);
			caller.send(lines("GET /again/x HTTP/1.1", "host: host", "id: 2", "", ""));
			Answer answer = caller.read();
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.head().toLowerCase(Locale.ROOT)).containsPattern("retry-after: (1|2)");
		}
	}

	// Guards against requests at endpoints that left while the gateway stood still.
	@Test
	void aRequestWaitsUntilTheEndpointsAreCurrent() throws Exception {
		ScriptedEndpoint endpoint = endpoint("a").thenAnswer(WHOLE);
		this.endpointsCurrent = () -> false;
		try (Caller caller = new Caller()) {
			caller.send(lines("GET /again/x HTTP/1.1", "host: host", "id: 1", "", ""));
			TimeUnit.MILLISECONDS.sleep(200);
			assertThat(endpoint.waitingRequests()).isZero();
			this.endpointsCurrent = () -> true;
			assertThat(caller.read().status()).isEqualTo(200);
		}
	}

	// The endpoint answers twice. The second answer lies in the kept connection when the
	// next request is sent there. Its caller must get the answer that bears its own
	// identifier.
	@Test
	void aSecondAnswerIsNotTakenForTheNextRequestsAnswer() throws Exception {
		endpoint("a").thenAnswer(WHOLE)
			.then((connection, id) -> ScriptedEndpoint.write(connection,
					WHOLE.replace("ID", "1").replace("hello", "stale") + WHOLE.replace("ID", id)));
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").body()).isEqualTo("hello");
			assertThat(caller.call("POST /once/ HTTP/1.1", "2").body()).isEqualTo("hello");
		}
	}

	// The endpoint reads the request and resets the connection. It may have run it, so
	// the request is sent nowhere else, and its caller is not told that it did not run.
	@Test
	void aRequestThatMayHaveRunIsNotSentAgain() throws Exception {
		ScriptedEndpoint first = endpoint("a").thenReset("");
		ScriptedEndpoint second = endpoint("b").thenReset("");
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").status()).isEqualTo(502);
		}
		assertThat(first.waitingRequests() + second.waitingRequests()).isEqualTo(1);
	}

	@Test
	void aRepeatableRequestGoesToAnotherEndpointAfterAFailure() throws Exception {
		endpoint("a").thenAnswer(FAILED).thenAnswer(WHOLE);
		endpoint("b").thenAnswer(WHOLE).thenAnswer(WHOLE);
		try (Caller caller = new Caller()) {
			assertThat(caller.call("GET /again/ HTTP/1.1", "1").status()).isEqualTo(200);
			assertThat(caller.call("GET /again/ HTTP/1.1", "2").status()).isEqualTo(200);
		}
	}

	@Test
	void anEndpointsOwnFailureIsPassedOnAsItIs() throws Exception {
		endpoint("a").thenAnswer(FAILED);
		try (Caller caller = new Caller()) {
			Answer answer = caller.call("POST /once/ HTTP/1.1", "1");
			assertThat(answer.status()).isEqualTo(500);
			assertThat(answer.body()).isEqualTo("oops");
			assertThat(answer.head()).contains("seal: s");
		}
	}

	@Test
	void aRequestThatAnEndpointTurnedAwayUnrunMayComeBack() throws Exception {
		endpoint("a").thenAnswer(NOT_RUN);
		try (Caller caller = new Caller()) {
			Answer answer = caller.call("POST /once/ HTTP/1.1", "1");
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.head()).contains("retry-after: 0.");
		}
	}

	// A 503 that doesn't state that the request was not run promises nothing. Passed on,
	// it would tell the caller to send the request again.
	@Test
	void aRefusalThatStatesNothingIsNotPassedOn() throws Exception {
		endpoint("a").thenAnswer("HTTP/1.1 503 Busy\r\nid: ID\r\nseal: s\r\ncontent-length: 0\r\n\r\n");
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").status()).isEqualTo(502);
		}
	}

	@Test
	void whatCouldNotBeSentGoesToAnotherEndpointEvenIfItRunsOnce() throws Exception {
		endpoint("a").close();
		endpoint("b").thenAnswer(WHOLE).thenAnswer(WHOLE);
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").status()).isEqualTo(200);
			assertThat(caller.call("POST /once/ HTTP/1.1", "2").status()).isEqualTo(200);
		}
	}

	@Test
	void aSuccessWithoutASealIsNoAnswer() throws Exception {
		endpoint("a").thenAnswer("HTTP/1.1 200 OK\r\nid: ID\r\ncontent-length: 5\r\n\r\nhello");
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").status()).isEqualTo(502);
		}
	}

	// The answer has no length and ends with its connection, which is reset on the way.
	// What has come looks whole and is not.
	@Test
	void anAnswerWithoutALengthWhoseConnectionIsResetIsNotWhole() throws Exception {
		endpoint("a").thenReset("HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\nhel");
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").status()).isEqualTo(502);
		}
	}

	@Test
	void anAnswerWithoutALengthThatEndsInOrderIsWhole() throws Exception {
		endpoint("a").then((connection, id) -> {
			ScriptedEndpoint.write(connection, "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n\r\nhello");
			connection.close();
		});
		try (Caller caller = new Caller()) {
			assertThat(caller.call("POST /once/ HTTP/1.1", "1").body()).isEqualTo("hello");
		}
	}

	// The first engine breaks off within an event. The stream goes on at another engine
	// after the last whole event, within the same answer: the caller gets each event
	// once.
	@Test
	void aStreamGoesOnAtAnotherEngine() throws Exception {
		String broken = STREAM + chunk("id: 1\ndata: a\n\nid: 2\nda");
		String rest = STREAM + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
		for (String name : List.of("a", "b")) {
			endpoint(name).then((connection, id) -> {
				boolean first = this.scripted.stream().mapToInt(ScriptedEndpoint::waitingRequests).sum() == 1;
				ScriptedEndpoint.write(connection, (first ? broken : rest).replace("ID", id));
				if (first) {
					connection.close();
				}
			});
		}
		try (Caller caller = new Caller()) {
			Answer answer = caller.call("POST /resumed/ HTTP/1.1", "1");
			assertThat(answer.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
		}
		List<String> requests = new ArrayList<>();
		for (ScriptedEndpoint endpoint : this.scripted) {
			requests.add(String.valueOf(endpoint.request()));
		}
		assertThat(requests).anySatisfy((request) -> assertThat(request).contains("last-event: 1"))
			.anySatisfy((request) -> assertThat(request).doesNotContain("last-event"));
	}

	@Test
	void aStreamThatCannotGoOnDoesNotLookWhole() throws Exception {
		endpoint("a").thenReset(STREAM + chunk("id: 1\ndata: a\n\n"));
		try (Caller caller = new Caller()) {
			Answer answer = caller.call("POST /stream/ HTTP/1.1", "1");
			assertThat(answer.body()).isEqualTo("id: 1\ndata: a\n\n");
			assertThat(answer.whole()).isFalse();
		}
	}

	// The caller closes its connection while the engine works. The engine must learn of
	// it, which it does by its own connection.
	@Test
	void anEndpointIsToldThatTheCallerLeft() throws Exception {
		ScriptedEndpoint endpoint = endpoint("a").then((connection, id) -> {
		});
		Caller caller = new Caller();
		caller.send("POST /stream/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ncontent-length: 0\r\n\r\n");
		assertThat(endpoint.request()).isNotNull();
		caller.close();
		assertThat(endpoint.closedByGateway()).isNotNull();
	}

	// A data centre is cut off, and a request to it is held up on its way. Its caller's
	// deadline passes. Closed in order, the connection would still deliver the request
	// when
	// the cut ends, and a booking would run that the caller was told nothing of.
	@Test
	void aRequestThatIsGivenUpIsDroppedOnItsWay() throws Exception {
		ScriptedEndpoint endpoint = endpoint("a").then((connection, id) -> {
		});
		try (Caller caller = new Caller()) {
			caller.send("POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ndeadline-ms: 200\r\ncontent-length: 0\r\n\r\n");
			assertThat(caller.read().status()).isEqualTo(504);
		}
		assertThat(endpoint.closedByGateway()).isEqualTo("reset");
	}

	// A request states its length twice, so that the end of its body hides another
	// request. Neither is passed on.
	@Test
	void aRequestWithTwoLengthsIsRefused() throws Exception {
		ScriptedEndpoint endpoint = endpoint("a").thenAnswer(WHOLE);
		try (Caller caller = new Caller()) {
			caller.send(lines("POST /once/ HTTP/1.1", "host: host", "id: 1", "content-length: 5",
					"transfer-encoding: chunked", "", "0", "", "POST /once/ HTTP/1.1", "host: host", "id: 2", "", ""));
			assertThat(caller.read().status()).isEqualTo(400);
		}
		assertThat(endpoint.waitingRequests()).isZero();
	}

	@Test
	void whatIsTooLargeIsRefused() throws Exception {
		try (Caller caller = new Caller()) {
			caller.send("POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\nlong: " + "x".repeat(5000) + "\r\n\r\n");
			assertThat(caller.read().status()).isEqualTo(431);
		}
		try (Caller caller = new Caller()) {
			caller.send("POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ncontent-length: 20000\r\n\r\n");
			assertThat(caller.read().status()).isEqualTo(413);
		}
	}

	@Test
	void requestsSentAheadAreAnsweredInTheirOrder() throws Exception {
		endpoint("a").thenAnswer(WHOLE.replace("hello", "first")).thenAnswer(WHOLE.replace("hello", "again"));
		try (Caller caller = new Caller()) {
			String request = "POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ncontent-length: 0\r\n\r\n";
			caller.send(request + request.replace("id: 1", "id: 2"));
			assertThat(caller.read().body()).isEqualTo("first");
			assertThat(caller.read().body()).isEqualTo("again");
		}
	}

	@Test
	void aRequestThatNoEndpointCanTakeIsAnsweredNotRun() throws Exception {
		try (Caller caller = new Caller()) {
			caller.send("POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ndeadline-ms: 400\r\ncontent-length: 0\r\n\r\n");
			assertThat(caller.read().status()).isEqualTo(503);
		}
	}

	// All processes were killed and start again. A caller's only retry reaches a gateway
	// that has not read the configuration yet. Refused, the caller would have no further
	// try; the request is held for the moment until the configuration is known.
	@Test
	void aRequestThatArrivesBeforeTheConfigurationIsReadIsAnsweredOnceItIs() throws Exception {
		endpoint("a").thenAnswer(WHOLE);
		RequestFlow starting = newFlow();
		this.listening = newServer(starting)
			.listen(ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
		try (Caller caller = new Caller()) {
			caller.send("POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ncontent-length: 0\r\n\r\n");
			this.eventLoop.submit(() -> assertThat(starting.inProgress()).isZero()).sync();
			configure(starting);
			assertThat(caller.read().status()).isEqualTo(200);
		}
	}

	// A process starts and opens its socket first. A caller connects and sends its
	// request
	// while nobody reads yet; it is answered once the rest of the process has started.
	@Test
	void aConnectionThatArrivedBeforeItIsServedIsAnswered() throws Exception {
		endpoint("a").thenAnswer(WHOLE);
		ServerSocketChannel socket = ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		try (Caller caller = new Caller(socket.getLocalAddress())) {
			caller.send("POST /once/ HTTP/1.1\r\nhost: host\r\nid: 1\r\ncontent-length: 0\r\n\r\n");
			newServer(this.flow).listen(socket);
			assertThat(caller.read().status()).isEqualTo(200);
		}
	}

	// The store is away while a gateway starts, so that no configuration comes. Callers
	// are
	// told so while they still have time to go elsewhere.
	@Test
	void aRequestIsRefusedUnrunWhenNoConfigurationComes() throws Exception {
		this.listening = newServer(newFlow())
			.listen(ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
		try (Caller caller = new Caller()) {
			Answer answer = caller.call("POST /once/ HTTP/1.1", "1");
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.head()).contains("retry-after: 0.");
		}
	}

	private static String lines(String... lines) {
		return String.join("\r\n", lines);
	}

	private static String chunk(String data) {
		return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
	}

	private ScriptedEndpoint endpoint(String name) throws Exception {
		ScriptedEndpoint endpoint = new ScriptedEndpoint();
		this.scripted.add(endpoint);
		EndpointEntry entry = new EndpointEntry(new EndpointId(name), SERVICE, "v1", endpoint.address(), ZONE, 10,
				false, false, 1);
		this.eventLoop.submit(() -> this.endpoints.put(entry)).sync();
		return endpoint;
	}

	private record Answer(int status, String head, String body, boolean whole) {
	}

	/**
	 * A caller with one connection.
	 */
	private final class Caller implements AutoCloseable {

		private final Socket connection;

		private Caller() throws IOException {
			this(Objects.requireNonNull(ExchangeTests.this.listening).localAddress());
		}

		private Caller(SocketAddress address) throws IOException {
			this.connection = new Socket();
			this.connection.connect(address);
			this.connection.setSoTimeout(30_000);
		}

		private void send(String text) throws IOException {
			this.connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		}

		private Answer call(String firstLine, String id) throws IOException {
			send(firstLine + "\r\nhost: host\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n");
			return read();
		}

		private Answer read() throws IOException {
			InputStream input = this.connection.getInputStream();
			String head = readLineEndingIn(input, "\r\n\r\n");
			int status = Integer.parseInt(head.split(" ")[1]);
			String length = ScriptedEndpoint.header(head, "content-length");
			if (!length.isEmpty()) {
				byte[] body = input.readNBytes(Integer.parseInt(length));
				return new Answer(status, head, new String(body, StandardCharsets.US_ASCII), true);
			}
			StringBuilder body = new StringBuilder();
			while (true) {
				String size = readLineEndingIn(input, "\r\n").trim();
				if (size.isEmpty()) {
					return new Answer(status, head, body.toString(), false);
				}
				String part = new String(input.readNBytes(Integer.parseInt(size, 16)), StandardCharsets.US_ASCII);
				readLineEndingIn(input, "\r\n");
				if (part.isEmpty()) {
					return new Answer(status, head, body.toString(), true);
				}
				body.append(part);
			}
		}

		private static String readLineEndingIn(InputStream input, String end) throws IOException {
			StringBuilder text = new StringBuilder();
			while (!text.toString().endsWith(end)) {
				int read = input.read();
				if (read < 0) {
					return text.toString();
				}
				text.append((char) read);
			}
			return text.toString();
		}

		@Override
		public void close() throws IOException {
			this.connection.close();
		}

	}

	private static final class SilentLog implements RequestLog {

		@Override
		public void rejected(RejectionFacts facts) {
		}

		@Override
		public void attemptFailed(AttemptFacts attempt, String reason) {
		}

		@Override
		public void ended(RequestFacts facts) {
		}

		@Override
		public void rateLimitChanged(EndpointId endpoint, @Nullable Double requestsPerSecond) {
		}

	}

}
