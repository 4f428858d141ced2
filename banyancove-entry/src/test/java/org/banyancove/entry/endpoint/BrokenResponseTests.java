package org.banyancove.entry.endpoint;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.banyancove.core.Body;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.AttemptRequest;
import org.banyancove.core.entry.AttemptResult;
import org.banyancove.core.entry.EntryEvent;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a response whose head breaks the protocol is no answer of its endpoint.
 */
class BrokenResponseTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final String REST = "content-type: text/plain\r\ncontent-length: 5\r\n\r\nhello";

	private static final EndpointId ENDPOINT = new EndpointId("endpoint");

	private final ScriptedServer server = new ScriptedServer(this::respond);

	private final BlockingQueue<EntryEvent> ends = new LinkedBlockingQueue<>();

	private final EndpointClient client = new EndpointClient(TIMEOUT, TIMEOUT, this.ends::add);

	private volatile String response = "";

	BrokenResponseTests() throws IOException {
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.server.close();
	}

	// Guards against a status that no caller can read, of an endpoint in trouble.
	@ParameterizedTest
	@ValueSource(strings = { "000 OK", "001", "010 OK", "099 OK", "600 Odd", "700", "999 Odd" })
	void statusThatNoResponseHasIsNoAnswer(String status) throws Exception {
		assertNoAnswer("HTTP/1.1 " + status + "\r\n" + REST);
	}

	// Guards against a header that counts as another one, such as the length.
	@ParameterizedTest
	@ValueSource(strings = { "X-Odd : 1", "X Odd: 1", "X\0Odd: 1", "X\177Odd: 1", "Content-Length : 3" })
	void headerWithAMalformedNameIsNoAnswer(String line) throws Exception {
		assertNoAnswer("HTTP/1.1 200 OK\r\n" + line + "\r\n" + REST);
		assertNoAnswer("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nhello");
	}

	// Guards against coded bytes that count as the body.
	@ParameterizedTest
	@ValueSource(strings = { "xchunked", "gzip", "gzip, chunked", "chunked, gzip", "chunked;q=1" })
	void bodyOfAnotherTransferCodingIsNoAnswer(String coding) throws Exception {
		assertNoAnswer("HTTP/1.1 200 OK\r\ntransfer-encoding: " + coding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
	}

	// Guards against an interim response that counts as the final one, and has that as
	// its body.
	@ParameterizedTest
	@ValueSource(strings = { "100 Go", "102 Processing", "103 Early", "199 Odd" })
	void interimResponseIsNoAnswer(String status) throws Exception {
		String interim = "HTTP/1.1 " + status + "\r\nlink: a\r\n\r\n";
		for (boolean once : List.of(false, true)) {
			assertThat(call(interim + "HTTP/1.1 200 OK\r\n" + REST, plainCall(once))).isInstanceOfSatisfying(
					AttemptResult.Answered.class, (answer) -> assertThat(answer.body()).isEqualTo(Body.of("hello")));
		}
	}

	// Guards against a call that runs twice: the response that broke off shows that the
	// endpoint may have run it without its body.
	@Test
	void responseThatBreaksOffBeforeTheGoAheadLeavesTheOutcomeOpen() throws Exception {
		try (ServerSocket hasty = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread.ofVirtual().start(() -> {
				try (Socket connection = hasty.accept()) {
					connection.getInputStream().read();
					ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello");
				}
				catch (IOException ex) {
					// The client closed the connection.
				}
			});
			this.client.start(new Attempt(new RequestId("request"), 1, ENDPOINT, "127.0.0.1:" + hasty.getLocalPort(),
					plainCall(true)));
			EntryEvent end = this.ends.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
			assertThat(end).isInstanceOfSatisfying(EntryEvent.AttemptEnded.class,
					(ended) -> assertThat(ended.result()).isInstanceOf(AttemptResult.Broken.class));
		}
	}

	// Guards against sound endpoints whose responses are odd but allowed.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 299 Odd", "HTTP/1.1 404 None",
			"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: 1", "HTTP/1.1 200 OK\r\ntransfer-encoding: identity" })
	void oddHeadIsAnAnswer(String head) throws Exception {
		for (boolean once : List.of(false, true)) {
			assertThat(call(head + "\r\n" + REST, plainCall(once))).isInstanceOfSatisfying(AttemptResult.Answered.class,
					(answer) -> assertThat(answer.body()).isEqualTo(Body.of("hello")));
		}
	}

	private void assertNoAnswer(String broken) throws Exception {
		for (boolean once : List.of(false, true)) {
			assertThat(call(broken, plainCall(once))).isInstanceOf(AttemptResult.Broken.class);
		}
		assertThat(call(broken, new AttemptRequest.Generate(Body.of("{\"model\":\"m\"}"), 0)))
			.isInstanceOf(AttemptResult.Broken.class);
	}

	private static AttemptRequest plainCall(boolean once) {
		return new AttemptRequest.PlainCall("POST", "/", "text/plain", Body.of("x"), null, once);
	}

	private @Nullable AttemptResult call(String scripted, AttemptRequest request) throws Exception {
		this.response = scripted;
		this.client.start(new Attempt(new RequestId("request"), 1, ENDPOINT, this.server.address(), request));
		EntryEvent end = this.ends.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		return (end instanceof EntryEvent.AttemptEnded ended) ? ended.result() : null;
	}

	private void respond(Socket connection, String head) throws IOException {
		InputStream input = connection.getInputStream();
		input.readNBytes(1);
		ScriptedServer.write(connection, this.response);
		connection.shutdownOutput();
		input.readAllBytes();
	}

}
