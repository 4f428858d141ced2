package org.banyancove.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a platform's response without an end doesn't fill the memory of its reader.
 */
class EndlessResponseTests {

	/** Longer than the server needs for {@value #MAXIMUM_BYTES} bytes. */
	private static final Duration TIMEOUT = Duration.ofSeconds(40);

	private static final long MAXIMUM_BYTES = 2L * JsonHttpClient.MAXIMUM_RESPONSE_BYTES;

	private static final byte[] PART = "8\r\nabcdefgh\r\n".repeat(5000).getBytes(StandardCharsets.ISO_8859_1);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final AtomicLong sent = new AtomicLong();

	EndlessResponseTests() throws IOException {
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.executor.shutdownNow();
	}

	// Guards against a response that is kept until its reader runs out of memory.
	@ParameterizedTest
	@ValueSource(
			strings = { "content-type: application/json", "content-length: 99999999999", "transfer-encoding: chunked" })
	void callEndsAtABoundOfTheResponse(String header) throws Exception {
		this.executor.execute(() -> serve("HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n"));
		URI address = URI.create("http://127.0.0.1:" + this.server.getLocalPort());
		try (PlatformConnection connection = new PlatformConnection(address, TIMEOUT, this.executor)) {
			AppendResult result = new LogClient(connection).append("profiles", List.of(new NewRecord("a", "b")))
				.get(TIMEOUT.toMillis() / 2, TimeUnit.MILLISECONDS);
			assertThat(result).isInstanceOf(AppendResult.Unanswered.class);
			assertThat(this.sent.get()).isLessThan(MAXIMUM_BYTES);
		}
	}

	// Falls silent after a maximum, so that a test of a client without a bound ends.
	private void serve(String head) {
		try (Socket socket = this.server.accept()) {
			if (socket.getInputStream().read() < 0) {
				return;
			}
			OutputStream output = socket.getOutputStream();
			output.write(head.getBytes(StandardCharsets.ISO_8859_1));
			while (this.sent.get() < MAXIMUM_BYTES) {
				output.write(PART);
				this.sent.addAndGet(PART.length);
			}
			socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		catch (IOException ex) {
			// Expected: the client closed the connection.
		}
	}

}
