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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the beginning of an extra response does not become part of the next one,
 * wherever it ends and whenever it arrives.
 */
class ExtraResponseTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	/** The time in which each call ends, however its response is spoilt. */
	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(1);

	/** The extra responses, of which each beginning is sent. */
	private static final List<String> EXTRA_RESPONSES = List.of(
			"HTTP/1.1 200 OK\r\nid: PREVIOUS\r\nseal: s\r\nload: 1,2,3\r\ncontent-length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\ndate: Sat, 05 Dec\r\nvia: 1.1 a\r\ncontent-length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nid: PREVIOUS\r\n\r\n5\r\nhello\r\n0\r\n\r\n");

	/** Extra responses whose bodies end early, or have none, as after a HEAD request. */
	private static final List<String> LONG_EXTRA_RESPONSES = List.of(
			"HTTP/1.1 200 OK\r\nid: PREVIOUS\r\nseal: s\r\ncontent-length: 5000\r\n\r\n",
			"HTTP/1.1 200 OK\r\nid: PREVIOUS\r\nseal: s\r\ncontent-length: 5000\r\n\r\npart",
			"HTTP/1.1 200 OK\r\nid: PREVIOUS\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n1388\r\npart",
			"HTTP/1.1 200 OK\r\nid: PREVIOUS\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n");

	private static final List<String> RESPONSES = List.of(
			"HTTP/1.1 500 Failed\r\nid: ID\r\nseal: s\r\ncontent-length: 8\r\n\r\nown body",
			"HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n8\r\nown body\r\n0\r\n\r\n",
			"HTTP/1.1 500 Failed\r\nid: ID\r\nseal: s\r\nconnection: close\r\n\r\nown body");

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final ServerSocket server = newServerSocket();

	private final ConnectionPool connections = new ConnectionPool(this.eventLoop, System::nanoTime,
			() -> new PartitionedChannel(
					(remote) -> this.partitioned && remote.equals(this.server.getLocalSocketAddress())));

	private volatile boolean partitioned;

	private boolean dedicated;

	private volatile Exchange exchange = new Exchange("", RESPONSES.getFirst(), Timing.IDLE);

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

	// Guards against a success whose status line is that of an extra response and whose
	// id, seal and body are those of the next one, a failure.
	@ParameterizedTest
	@CsvSource({ "SAME_SEGMENT, false, 0", "IDLE, false, 1", "BEFORE_NEXT_RESPONSE, false, 2", "SAME_SEGMENT, true, 0",
			"IDLE, true, 1", "BEFORE_NEXT_RESPONSE, true, 2" })
	void beginningOfAnExtraResponseIsNoPartOfTheNext(Timing timing, boolean tunnelled, long seed) throws Exception {
		if (tunnelled) {
			LoopbackTunnel.open(this.eventLoops, this.connections);
			this.partitioned = true;
		}
		Thread.ofVirtual().start(this::accept);
		SplittableRandom random = new SplittableRandom(seed);
		List<String> wrong = new ArrayList<>();
		int ids = 0;
		for (String extra : EXTRA_RESPONSES) {
			for (int end = 1; end <= extra.length(); end++) {
				String id = "a" + ids++;
				String beginning = extra.substring(0, end).replace("PREVIOUS", id);
				this.exchange = new Exchange(beginning, RESPONSES.get(random.nextInt(RESPONSES.size())), timing);
				check(id, "200 whole " + id, beginning, wrong);
				if (timing == Timing.IDLE) {
					TimeUnit.MILLISECONDS.sleep(2 + random.nextInt(4));
				}
				check("b" + ids++, this.exchange.response().substring(9, 12) + " own body", beginning, wrong);
			}
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a call that waits for its timeout because its response was read as
	// the rest of an extra one.
	@ParameterizedTest
	@CsvSource({ "GET, false", "HEAD, false", "GET, true", "HEAD, true" })
	void callEndsAtOnceIfItsResponseIsReadAsTheBodyOfAnExtraOne(String method, boolean tunnelled) throws Exception {
		if (tunnelled) {
			LoopbackTunnel.open(this.eventLoops, this.connections);
			this.partitioned = true;
		}
		Thread.ofVirtual().start(this::accept);
		List<String> wrong = new ArrayList<>();
		int ids = 0;
		for (String extra : LONG_EXTRA_RESPONSES) {
			for (String next : RESPONSES) {
				String id = "a" + ids++;
				String beginning = extra.replace("PREVIOUS", id);
				boolean head = method.equals("HEAD");
				String response = head ? next.substring(0, next.indexOf("\r\n\r\n") + 4) : next;
				this.exchange = new Exchange(beginning, response, Timing.BEFORE_NEXT_RESPONSE);
				check(id, "200 whole " + id, beginning, wrong);
				check(HttpMethod.valueOf(method), "b" + ids++, response.substring(9, 12) + (head ? " " : " own body"),
						beginning, wrong);
			}
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a success whose body has an extra response in it, since its end is
	// that of the connection or it ended early.
	@ParameterizedTest
	@CsvSource({ "connection: close, false", "content-length: 40, false", "connection: close, true",
			"content-length: 40, true" })
	void extraResponseIsNoPartOfABody(String framing, boolean tunnelled) throws Exception {
		if (tunnelled) {
			LoopbackTunnel.open(this.eventLoops, this.connections);
			this.partitioned = true;
		}
		Thread.ofVirtual().start(this::accept);
		List<String> wrong = new ArrayList<>();
		int ids = 0;
		for (String extra : EXTRA_RESPONSES) {
			for (int end : List.of(13, 40, extra.length())) {
				String response = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n" + framing + "\r\n\r\nown part"
						+ extra.substring(0, end).replace("PREVIOUS", "b" + ids);
				this.exchange = new Exchange("", response, Timing.BEFORE_NEXT_RESPONSE);
				if (framing.contains("close") || end > 40) {
					check("b" + ids++, "UNREADABLE", extra.substring(0, end), wrong);
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a call without an id that takes a late response to the request
	// before it on its connection for its own.
	@Test
	void callThatNeedsNoIdGetsNoResponseToAnEarlierRequest() throws Exception {
		Thread.ofVirtual().start(this::accept);
		List<String> wrong = new ArrayList<>();
		this.exchange = new Exchange("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", RESPONSES.getFirst(),
				Timing.BEFORE_NEXT_RESPONSE);
		check("a1", "200 whole a1", "", wrong);
		this.dedicated = true;
		check("b2", "500 own body", "", wrong);
		assertThat(wrong).isEmpty();
	}

	// Guards against a body whose end is not certain, since its head states no length or
	// several.
	@ParameterizedTest
	@ValueSource(strings = { "content-length: 8\r\ncontent-length: 9", "content-length: 8\r\ncontent-length: 8",
			"content-length: 8, 9", "content-length: +8", "content-length: -8",
			"content-length: 8\r\ntransfer-encoding: chunked", "transfer-encoding: chunked\r\ncontent-length: 8" })
	void headThatDoesNotStateOneLengthIsUnreadable(String framing) throws Exception {
		Thread.ofVirtual().start(this::accept);
		List<String> wrong = new ArrayList<>();
		this.exchange = new Exchange("",
				"HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n" + framing + "\r\n\r\n8\r\nown body\r\n0\r\n\r\n",
				Timing.BEFORE_NEXT_RESPONSE);
		check("b1", "UNREADABLE", "", wrong);
		assertThat(wrong).isEmpty();
	}

	private void check(String id, String own, String beginning, List<String> wrong) throws Exception {
		check(HttpMethod.GET, id, own, beginning, wrong);
	}

	private void check(HttpMethod method, String id, String own, String beginning, List<String> wrong)
			throws Exception {
		Response response = new Response(id, this.dedicated);
		ClientCall call = call(method, response);
		String result = response.end.completeOnTimeout("no end", MAXIMUM_WAIT.toMillis(), TimeUnit.MILLISECONDS).get();
		this.eventLoop.submit(call::cancel).sync();
		if (!result.equals(own) && !result.equals("UNREADABLE")) {
			wrong.add(result + " instead of " + own + " after " + beginning);
		}
	}

	private ClientCall call(HttpMethod method, Response response) throws Exception {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER);
		request.headers().set("id", response.id);
		ConnectContext context = new ConnectContext(new ServiceName("service"), 1, response.id, new NoOpRequestLog());
		InetSocketAddress address = (InetSocketAddress) this.server.getLocalSocketAddress();
		CallOptions options = new CallOptions(TIMEOUT, TIMEOUT, new ConnectionLimit(100, 100), context, this.dedicated);
		return this.eventLoop.submit(() -> this.connections.call(address, request, options, response)).get();
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
			String pending = "";
			for (String id = readId(input); !id.isEmpty(); id = readId(input)) {
				Exchange current = this.exchange;
				if (id.startsWith("a")) {
					pending = current.respondFirst(connection, id);
				}
				else {
					ScriptedEndpoint.write(connection, pending + current.response().replace("ID", id));
					if (current.response().contains("close")) {
						return;
					}
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

	private static String readId(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int read = input.read();
			if (read < 0) {
				return "";
			}
			head.append((char) read);
		}
		return ScriptedEndpoint.header(head.toString(), "id");
	}

	/**
	 * When the beginning of an extra response is sent.
	 */
	private enum Timing {

		SAME_SEGMENT, IDLE, BEFORE_NEXT_RESPONSE

	}

	/**
	 * A request with an extra response and the next one on its connection.
	 *
	 * @param extra the beginning of the extra response
	 * @param response the response to the next request
	 * @param timing when the extra bytes are sent
	 */
	private record Exchange(String extra, String response, Timing timing) {

		private String respondFirst(Socket connection, String id) throws IOException, InterruptedException {
			String body = "whole " + id;
			String first = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\ncontent-length: " + body.length()
					+ "\r\n\r\n" + body;
			switch (this.timing) {
				case SAME_SEGMENT -> ScriptedEndpoint.write(connection, first + this.extra);
				case IDLE -> {
					ScriptedEndpoint.write(connection, first);
					TimeUnit.MILLISECONDS.sleep(1);
					ScriptedEndpoint.write(connection, this.extra);
				}
				case BEFORE_NEXT_RESPONSE -> ScriptedEndpoint.write(connection, first);
			}
			return (this.timing == Timing.BEFORE_NEXT_RESPONSE) ? this.extra : "";
		}

	}

	/**
	 * Records the status and body of a response, or its failure.
	 */
	private static final class Response implements ResponseListener {

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private final StringBuilder text = new StringBuilder();

		private final String id;

		private final boolean needsNoId;

		private Response(String id, boolean needsNoId) {
			this.id = id;
			this.needsNoId = needsNoId;
		}

		@Override
		public ResponseMatch match(HttpResponse head) {
			String stated = head.headers().get("id");
			if (stated == null) {
				return this.needsNoId ? ResponseMatch.OWN : ResponseMatch.UNREADABLE;
			}
			return stated.equals(this.id) ? ResponseMatch.OWN : ResponseMatch.OTHER;
		}

		@Override
		public void head(HttpResponse head) {
			this.text.append(head.status().code()).append(' ');
		}

		@Override
		public void content(ByteBuf content) {
			this.text.append(content.toString(StandardCharsets.US_ASCII));
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
