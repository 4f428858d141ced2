package org.banyancove.gateway.exchange;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.tunnel.ConnectContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a call gets what the server sent for it or fails, for random sequences of
 * whole and cut responses and stray bytes, in random segments.
 */
class ResponseBoundaryTests {

	private static final int REQUESTS = 700;

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	/** A response that was cut need not end. */
	private static final Duration MAXIMUM_WAIT_IF_DISTURBED = Duration.ofMillis(80);

	/** The shortest beginning of a status line that can be told from a body. */
	private static final int SHORTEST_BEGINNING = 5;

	private static final List<String> EXTRA_RESPONSES = List.of(
			"HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\nload: 1,2,3\r\ncontent-length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nid: other\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 204 None\r\nid: other\r\n\r\n");

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final ServerSocket server = newServerSocket();

	private final ConnectionPool connections = new ConnectionPool(this.eventLoop, System::nanoTime,
			() -> new PartitionedChannel(
					(remote) -> this.partitioned && remote.equals(this.server.getLocalSocketAddress())));

	private volatile boolean partitioned;

	private volatile Call current = new Call("", Plan.of("GET", "", new SplittableRandom(0)));

	private static ServerSocket newServerSocket() {
		try {
			return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
		this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
	}

	// Guards against responses that consist of parts of two, and against sound ones that
	// are refused.
	@ParameterizedTest
	@CsvSource({ "false, 1", "false, 2", "true, 3", "true, 4" })
	void callGetsItsOwnResponseOrNone(boolean tunnelled, long seed) throws Exception {
		if (tunnelled) {
			LoopbackTunnel.open(this.eventLoops, this.connections);
			this.partitioned = true;
		}
		Thread.ofVirtual().start(this::accept);
		SplittableRandom random = new SplittableRandom(seed);
		List<String> wrong = new ArrayList<>();
		int whole = 0;
		for (int i = 0; i < REQUESTS; i++) {
			String method = List.of("GET", "POST", "HEAD").get(random.nextInt(3));
			Call call = new Call("a" + i, Plan.of(method, "a" + i, random));
			this.current = call;
			String result = result(method, call);
			if (result.equals(call.plan.result) && call.plan.whole()) {
				whole++;
			}
			else if (call.undisturbed || Character.isDigit(result.charAt(0))) {
				wrong.add(result + " for " + call.plan);
			}
		}
		assertThat(wrong).isEmpty();
		assertThat(whole).isGreaterThan(REQUESTS / 3);
	}

	private String result(String method, Call call) throws Exception {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/",
				Unpooled.EMPTY_BUFFER);
		request.headers().set("id", call.id);
		ConnectContext context = new ConnectContext(new ServiceName("service"), 1, call.id, new NoOpRequestLog());
		InetSocketAddress address = (InetSocketAddress) this.server.getLocalSocketAddress();
		CallOptions options = new CallOptions(TIMEOUT, TIMEOUT, new ConnectionLimit(100, 100), context);
		ClientCall started = this.eventLoop.submit(() -> this.connections.call(address, request, options, call)).get();
		Duration wait = call.plan.disturbs() ? MAXIMUM_WAIT_IF_DISTURBED : TIMEOUT;
		String result = call.end.completeOnTimeout("no end", wait.toMillis(), TimeUnit.MILLISECONDS).get();
		this.eventLoop.submit(started::cancel).sync();
		return result;
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.server.accept();
				Thread.ofVirtual().start(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The server socket was closed at the end of the test.
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			connection.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(connection.getInputStream());
			boolean sound = true;
			while (hasRequest(input)) {
				Call call = this.current;
				sound &= !call.plan.disturbs();
				call.undisturbed = sound;
				call.plan.send(connection, call);
				if (call.plan.closes) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The gateway closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean hasRequest(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int read = input.read();
			if (read < 0) {
				return false;
			}
			head.append((char) read);
		}
		return true;
	}

	/**
	 * What the server sends for a request.
	 *
	 * @param before stray bytes before the response
	 * @param response the response
	 * @param length the number of its bytes that are sent
	 * @param after stray bytes after those
	 * @param closes whether the connection is closed at the end
	 * @param result the status and body of the response
	 * @param seed determines the segments
	 */
	private record Plan(String before, String response, int length, String after, boolean closes, String result,
			long seed) {

		private static Plan of(String method, String id, SplittableRandom random) {
			int status = List.of(200, 200, 200, 204, 304, 500, 503).get(random.nextInt(7));
			boolean head = method.equals("HEAD") || status == 204 || status == 304;
			// No byte of the body occurs in the framing.
			String body = "xyz".repeat(1 + random.nextInt(12)).substring(random.nextInt(3));
			int framing = random.nextInt(5);
			boolean untilClose = framing == 0 && !head;
			String framed = (framing < 3) ? body : chunks(body, random.nextInt(body.length()));
			String framingHeader = switch (framing) {
				case 0 -> head ? "" : "connection: close\r\n";
				case 1, 2 -> (status == 204) ? "" : "content-length: " + body.length() + "\r\n";
				default -> (status == 204) ? "" : "transfer-encoding: chunked\r\n";
			};
			String early = (random.nextInt(6) == 0) ? "HTTP/1.1 103 Early\r\nlink: l\r\n\r\n" : "";
			String response = early + "HTTP/1.1 " + status + " Status\r\nid: " + id + "\r\nseal: s\r\n" + framingHeader
					+ "\r\n" + (head ? "" : framed);
			int fault = random.nextInt(8);
			boolean cut = fault == 0 || (fault == 1 && !untilClose);
			int length = cut ? random.nextInt(response.length()) : response.length();
			String before = (fault == 2) ? beginning(1, random) : "";
			String after = switch (fault) {
				case 1 -> beginning(SHORTEST_BEGINNING, random);
				case 3 -> beginning(untilClose ? SHORTEST_BEGINNING : 1, random);
				default -> "";
			};
			return new Plan(before, response, length, after, untilClose || fault == 0,
					status + " " + (head ? "" : body), random.nextLong());
		}

		private static String chunks(String body, int first) {
			return chunk(body.substring(0, first)) + chunk(body.substring(first)) + "0\r\n\r\n";
		}

		private static String chunk(String data) {
			return data.isEmpty() ? "" : Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
		}

		private static String beginning(int minimum, SplittableRandom random) {
			String extra = EXTRA_RESPONSES.get(random.nextInt(EXTRA_RESPONSES.size()));
			return extra.substring(0, random.nextInt(minimum, extra.length() + 1));
		}

		private boolean whole() {
			return this.length == this.response.length();
		}

		private boolean disturbs() {
			return !whole() || !this.before.isEmpty() || !this.after.isEmpty();
		}

		private void send(Socket connection, Call call) throws IOException, InterruptedException {
			SplittableRandom random = new SplittableRandom(this.seed);
			String sent = this.before + this.response.substring(0, this.length);
			if (whole() && random.nextBoolean()) {
				write(connection, sent + this.after, random);
			}
			else {
				write(connection, sent, random);
				if (!this.after.isEmpty()) {
					call.awaitBody(sent);
					TimeUnit.MILLISECONDS.sleep(3);
					ScriptedEndpoint.write(connection, this.after);
				}
			}
			if (!whole() && this.closes) {
				connection.setSoLinger(true, 0);
			}
		}

		private static void write(Socket connection, String text, SplittableRandom random)
				throws IOException, InterruptedException {
			int segments = random.nextInt(4);
			int begin = 0;
			for (int i = 0; i < segments && begin < text.length(); i++) {
				int end = random.nextInt(begin, text.length()) + 1;
				ScriptedEndpoint.write(connection, text.substring(begin, end));
				TimeUnit.MICROSECONDS.sleep(random.nextInt(2000));
				begin = end;
			}
			ScriptedEndpoint.write(connection, text.substring(begin));
		}

	}

	/**
	 * Records the status and body of a response, or its failure.
	 */
	private static final class Call implements ResponseListener {

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private final StringBuilder text = new StringBuilder();

		/** The number of heads and of bytes of bodies. */
		private final AtomicInteger received = new AtomicInteger();

		private final String id;

		private final Plan plan;

		private volatile boolean undisturbed;

		private Call(String id, Plan plan) {
			this.id = id;
			this.plan = plan;
		}

		// Stray bytes that are read at once with the bytes before them can't be told from
		// a quotation.
		private void awaitBody(String sent) throws InterruptedException {
			int headEnd = sent.lastIndexOf("\r\n\r\n");
			long expected = (headEnd < 0) ? 0
					: 1 + sent.substring(headEnd).chars().filter((value) -> value >= 'x' && value <= 'z').count();
			for (int i = 0; i < 50 && this.received.get() < expected; i++) {
				TimeUnit.MILLISECONDS.sleep(1);
			}
		}

		@Override
		public ResponseMatch match(HttpResponse head) {
			String stated = head.headers().get("id");
			if (stated == null) {
				return ResponseMatch.UNREADABLE;
			}
			return stated.equals(this.id) ? ResponseMatch.OWN : ResponseMatch.OTHER;
		}

		@Override
		public void head(HttpResponse head) {
			this.text.append(head.status().code()).append(' ');
			this.received.incrementAndGet();
		}

		@Override
		public void content(ByteBuf content) {
			this.text.append(content.toString(StandardCharsets.US_ASCII));
			this.received.addAndGet(content.readableBytes());
		}

		@Override
		public void completed() {
			this.end.complete(this.text.toString());
		}

		@Override
		public void failed(CallFailure failure) {
			this.end.complete(failure.name());
		}

	}

}
