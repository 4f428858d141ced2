package org.banyancove.gateway.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that answers each request after a fixed time, counts how often it ran each,
 * and closes a connection after some requests.
 */
final class StubEndpoint implements AutoCloseable {

	private static final int EVENTS = 4;

	private static final int REQUESTS_PER_CONNECTION = 5;

	private final ServerSocket server;

	private final Map<String, Integer> runs;

	private volatile Duration responseTime;

	private final AtomicInteger openConnections = new AtomicInteger();

	private final AtomicInteger mostOpenConnections = new AtomicInteger();

	StubEndpoint(Map<String, Integer> runs, Duration responseTime) throws IOException {
		this.runs = runs;
		this.responseTime = responseTime;
		this.server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	/** Sets the time that requests take which arrive from now on. */
	void setResponseTime(Duration time) {
		this.responseTime = time;
	}

	static Map<String, Integer> newRuns() {
		return new ConcurrentHashMap<>();
	}

	InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort());
	}

	/** Starts counting the most connections that are open at the same time. */
	void countOpenConnections() {
		this.mostOpenConnections.set(this.openConnections.get());
	}

	/** Returns the most connections that were open at the same time. */
	int mostOpenConnections() {
		return this.mostOpenConnections.get();
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
		this.mostOpenConnections.accumulateAndGet(this.openConnections.incrementAndGet(), Math::max);
		try (connection) {
			connection.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(connection.getInputStream());
			String head = RawHttp.readHead(input);
			for (int request = 1; !head.isEmpty(); request++) {
				boolean last = request == REQUESTS_PER_CONNECTION;
				String id = RawHttp.header(head, "id");
				this.runs.merge(id, 1, Integer::sum);
				TimeUnit.NANOSECONDS.sleep(this.responseTime.toNanos());
				respond(connection.getOutputStream(), id, head.contains(" /stream/"), last);
				if (last) {
					return;
				}
				head = RawHttp.readHead(input);
			}
		}
		catch (IOException ex) {
			// The gateway reset the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.openConnections.decrementAndGet();
		}
	}

	private void respond(OutputStream output, String id, boolean streaming, boolean last)
			throws IOException, InterruptedException {
		String start = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\n" + (last ? "connection: close\r\n" : "");
		if (!streaming) {
			RawHttp.write(output, start + "content-length: " + id.length() + "\r\n\r\n" + id);
			return;
		}
		RawHttp.write(output, start + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
		for (int event = 1; event <= EVENTS; event++) {
			String text = "id: " + event + "\ndata: " + id + "\n\n";
			RawHttp.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			TimeUnit.NANOSECONDS.sleep(this.responseTime.toNanos());
		}
		RawHttp.write(output, "0\r\n\r\n");
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
