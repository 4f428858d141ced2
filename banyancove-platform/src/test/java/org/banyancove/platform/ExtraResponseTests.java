package org.banyancove.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a call to the platform gets the response to its own request only. The server
 * sends an extra response, or its beginning, just before its next response on the same
 * connection.
 */
class ExtraResponseTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final String APPENDED = response("200 OK", "{\"firstOffset\":7,\"lastOffset\":7}");

	private static final String UNAVAILABLE = response("503 Unavailable", "{\"firstOffset\":9,\"lastOffset\":9}");

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final PlatformConnection connection = new PlatformConnection(
			URI.create("http://127.0.0.1:" + this.server.getLocalPort()), TIMEOUT, this.executor);

	private final LogClient log = new LogClient(this.connection);

	private volatile String firstResponse = APPENDED;

	private volatile String extra = "";

	private volatile String nextResponse = UNAVAILABLE;

	ExtraResponseTests() throws IOException {
	}

	@BeforeEach
	void start() {
		this.executor.execute(this::accept);
	}

	@AfterEach
	void stop() throws IOException {
		this.connection.close();
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.executor.shutdownNow();
	}

	// Guards against a rejected append that counts as appended, so that its records are
	// lost.
	@Test
	void rejectedAppendIsNotAcknowledgedByAnExtraResponse() {
		List<String> wrong = new ArrayList<>();
		for (int end = 1; end <= APPENDED.length(); end++) {
			this.extra = APPENDED.substring(0, end);
			assertThat(append("first")).isEqualTo(new AppendResult.Appended(7, 7));
			AppendResult result = append("next");
			if (!(result instanceof AppendResult.Refused)) {
				wrong.add(result + " after " + this.extra);
			}
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a page of one stream that is read as a page of another.
	@Test
	void pageIsNoLateResponseToAReadOfAnotherStream() {
		this.firstResponse = page("first");
		this.extra = page("late");
		this.nextResponse = page("own");
		assertThat(read("first")).containsExactly("first");
		assertThat(read("next")).containsExactly("own");
	}

	private AppendResult append(String stream) {
		return this.log.append(stream, List.of(new NewRecord("a", "b"))).join();
	}

	private List<String> read(String stream) {
		return this.log.read(stream, 0, 10, Duration.ZERO).join().records().stream().map(LogRecord::id).toList();
	}

	private static String page(String id) {
		return response("200 OK", "{\"firstRetained\":0,\"endOffset\":1,\"records\":[{\"offset\":0,\"id\":\"" + id
				+ "\",\"data\":\"\",\"appendedAt\":\"2026-01-01T00:00:00Z\"}]}");
	}

	private static String response(String status, String body) {
		return "HTTP/1.1 " + status + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				this.executor.execute(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Expected: the test closed the server socket.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			OutputStream output = socket.getOutputStream();
			String pending = "";
			for (String request = readRequest(reader); !request.isEmpty(); request = readRequest(reader)) {
				boolean first = request.contains("/first/");
				String text = pending + (first ? this.firstResponse : this.nextResponse);
				pending = first ? this.extra : "";
				output.write(text.getBytes(StandardCharsets.US_ASCII));
				output.flush();
			}
		}
		catch (IOException ex) {
			// Expected: the client closed the connection.
		}
	}

	// Returns the request line, or an empty text at the end of the connection.
	private static String readRequest(BufferedReader reader) throws IOException {
		String requestLine = reader.readLine();
		int length = 0;
		for (String line = requestLine; line != null && !line.isEmpty(); line = reader.readLine()) {
			if (line.startsWith("Content-Length: ")) {
				length = Integer.parseInt(line.substring("Content-Length: ".length()));
			}
		}
		for (int i = 0; i < length; i++) {
			reader.read();
		}
		return (requestLine != null) ? requestLine : "";
	}

}
