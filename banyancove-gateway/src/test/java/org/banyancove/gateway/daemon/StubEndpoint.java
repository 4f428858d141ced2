package org.banyancove.gateway.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint that answers each request after a fixed time, counts how often it ran each,
 * and closes a connection after some requests.
 */
final class StubEndpoint implements AutoCloseable {

	private static final int EVENTS = 4;

	private static final int REQUESTS_PER_CONNECTION = 5;

	private final ServerSocket server;

	private final Map<String, Integer> runs;

	private final Duration responseTime;

	StubEndpoint(Map<String, Integer> runs, Duration responseTime) throws IOException {
		this.runs = runs;
		this.responseTime = responseTime;
		this.server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	static Map<String, Integer> newRuns() {
		return new ConcurrentHashMap<>();
	}

	InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort());
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.server.accept();
				Thread.ofVirtual().start(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The server socket was closed.
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			connection.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(connection.getInputStream());
			String head = readHead(input);
			for (int request = 1; !head.isEmpty(); request++) {
				boolean last = request == REQUESTS_PER_CONNECTION;
				String id = header(head, "id");
				this.runs.merge(id, 1, Integer::sum);
				TimeUnit.NANOSECONDS.sleep(this.responseTime.toNanos());
				respond(connection.getOutputStream(), id, head.contains(" /stream/"), last);
				if (last) {
					return;
				}
				head = readHead(input);
			}
		}
		catch (IOException ex) {
			// The gateway reset the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void respond(OutputStream output, String id, boolean streaming, boolean last)
			throws IOException, InterruptedException {
		String start = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n" + (last ? "connection: close\r\n" : "");
		if (!streaming) {
			write(output, start + "content-length: " + id.length() + "\r\n\r\n" + id);
			return;
		}
		write(output, start + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
		for (int event = 1; event <= EVENTS; event++) {
			String text = "id: " + event + "\ndata: " + id + "\n\n";
			write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			TimeUnit.NANOSECONDS.sleep(this.responseTime.toNanos());
		}
		write(output, "0\r\n\r\n");
	}

	private static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.US_ASCII));
		output.flush();
	}

	private static String header(String head, String name) {
		for (String line : head.split("\r\n")) {
			if (line.startsWith(name + ": ")) {
				return line.substring(name.length() + 2);
			}
		}
		return "";
	}

	// Returns an empty text at the end of the connection.
	private static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
			int read = input.read();
			if (read < 0) {
				return "";
			}
			head.append((char) read);
		}
		return head.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
