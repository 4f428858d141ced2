package org.banyancove.entry.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.banyancove.core.AccountName;
import org.banyancove.core.RequestId;
import org.banyancove.program.StatusPages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no caller can fill an entry's memory with a request that has no end.
 */
class EndlessRequestTests {

	private static final int MAXIMUM_BODY_BYTES = 1 << 20;

	/** What the server reads at most, with the bytes in the buffers of a connection. */
	private static final long MAXIMUM_READ_BYTES = MAXIMUM_BODY_BYTES + (16 << 20);

	/** The maximum that a caller sends. */
	private static final long MAXIMUM_SENT_BYTES = 64 << 20;

	private final AtomicInteger events = new AtomicInteger();

	private final AtomicInteger lastRequest = new AtomicInteger();

	private final CallerServer server = new CallerServer(
			new CallerServerSettings(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAXIMUM_BODY_BYTES,
					new Accounts(Map.of("secret", new AccountName("account")))),
			new CallerConnections(), (event) -> this.events.incrementAndGet(),
			() -> new RequestId("r-" + this.lastRequest.incrementAndGet()),
			new StatusPages(() -> true, () -> "", () -> ""));

	@AfterEach
	void stop() {
		this.server.close();
	}

	static Stream<Arguments> requests() {
		String post = "POST /services/s/ HTTP/1.1\r\nhost: h\r\nauthorization: Bearer secret\r\n";
		return Stream.of(Arguments.of("request line", "GET /", "x"), Arguments.of("no request", "", "\0"),
				Arguments.of("header value", post + "a: ", "x"), Arguments.of("header lines", post, "a: b\r\n"),
				Arguments.of("length", post + "content-length: 9999999999\r\n\r\n", "x"),
				Arguments.of("chunks", post + "transfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
				Arguments.of("chunk", post + "transfer-encoding: chunked\r\n\r\nfffffff\r\n", "x"),
				Arguments.of("chunk size", post + "transfer-encoding: chunked\r\n\r\n", "0"),
				Arguments.of("chunk extension", post + "transfer-encoding: chunked\r\n\r\n4;", "x"),
				Arguments.of("body of a status page",
						"GET /livez HTTP/1.1\r\nhost: h\r\ncontent-length: 9999999999\r\n\r\n", "x"));
	}

	// Guards against a request that is read for as long as its caller sends it.
	@ParameterizedTest(name = "{0}")
	@MethodSource("requests")
	void connectionIsClosedAtABoundOfTheRequest(String name, String beginning, String part) throws Exception {
		this.server.start();
		byte[] parts = part.repeat(10_000).getBytes(StandardCharsets.ISO_8859_1);
		long sent = 0;
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.server.address().getPort())) {
			OutputStream output = socket.getOutputStream();
			output.write(beginning.getBytes(StandardCharsets.ISO_8859_1));
			while (sent < MAXIMUM_SENT_BYTES) {
				output.write(parts);
				sent += parts.length;
			}
		}
		catch (IOException ex) {
			// Expected: the server closed the connection.
		}
		assertThat(sent).isLessThan(MAXIMUM_READ_BYTES);
		assertThat(this.events).hasValue(0);
	}

}
