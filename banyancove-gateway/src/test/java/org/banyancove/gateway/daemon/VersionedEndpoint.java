package org.banyancove.gateway.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * An endpoint whose software versions write streams that don't fit together. It crashes
 * within an event or between two, and starts again at the same address, as another
 * version if need be.
 */
final class VersionedEndpoint implements AutoCloseable {

	static final int EVENTS = 10;

	private static final int EVENT_INTERVAL_MILLIS = 25;

	private final AtomicInteger running = new AtomicInteger();

	private final Map<Socket, Boolean> connections = new ConcurrentHashMap<>();

	private final Set<String> versionsByRequest = ConcurrentHashMap.newKeySet();

	private volatile @Nullable Incarnation current;

	private @Nullable InetSocketAddress address;

	VersionedEndpoint(String version) throws IOException {
		start(version);
	}

	void start(String version) throws IOException {
		InetSocketAddress listened = (this.address != null) ? this.address
				: new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		ServerSocket server = new ServerSocket();
		server.bind(listened, 500);
		this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
		Incarnation started = new Incarnation(server, version, System.currentTimeMillis());
		this.current = started;
		Thread.ofVirtual().start(() -> accept(started));
	}

	InetSocketAddress address() {
		return Objects.requireNonNull(this.address);
	}

	String version() {
		return Objects.requireNonNull(this.current, "running").version();
	}

	/** Returns when the current process started, in Unix milliseconds. */
	long startedAt() {
		return Objects.requireNonNull(this.current, "running").startedAt;
	}

	int running() {
		return this.running.get();
	}

	/** Returns each request with the version that ran it, as {@code id version}. */
	Set<String> versionsByRequest() {
		return this.versionsByRequest;
	}

	/** Ends the process, within an event of each stream or between two events. */
	void crash(boolean withinEvent) throws IOException {
		Incarnation ended = Objects.requireNonNull(this.current, "running");
		ended.crashWithinEvent = withinEvent;
		ended.alive = false;
		this.current = null;
		ended.server.close();
		for (Map.Entry<Socket, Boolean> connection : this.connections.entrySet()) {
			if (!connection.getValue()) {
				reset(connection.getKey());
			}
		}
	}

	private static void reset(Socket connection) throws IOException {
		try {
			connection.setSoLinger(true, 0);
		}
		catch (SocketException ex) {
			// The thread that serves the connection may have closed it meanwhile.
			if (!connection.isClosed()) {
				throw ex;
			}
		}
		connection.close();
	}

	private void accept(Incarnation accepting) {
		try {
			while (true) {
				Socket connection = accepting.server.accept();
				this.connections.put(connection, false);
				Thread.ofVirtual().start(() -> serve(accepting, connection));
			}
		}
		catch (IOException ex) {
			// The server socket was closed.
		}
	}

	private void serve(Incarnation serving, Socket connection) {
		try (connection) {
			connection.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(connection.getInputStream());
			for (String head = RawHttp.readHead(input); !head.isEmpty()
					&& serving.alive; head = RawHttp.readHead(input)) {
				this.connections.put(connection, true);
				this.running.incrementAndGet();
				try {
					stream(serving, connection, head);
				}
				finally {
					this.running.decrementAndGet();
				}
				this.connections.put(connection, false);
			}
		}
		catch (IOException ex) {
			// The gateway reset the connection, or the process ended.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private void stream(Incarnation serving, Socket connection, String head) throws IOException, InterruptedException {
		String id = RawHttp.header(head, "id");
		String lastEvent = RawHttp.header(head, "last-event");
		this.versionsByRequest.add(id + " " + serving.version);
		OutputStream output = connection.getOutputStream();
		TimeUnit.MILLISECONDS.sleep(EVENT_INTERVAL_MILLIS);
		RawHttp.write(output, "HTTP/1.1 200 OK\r\nid: " + id
				+ "\r\nseal: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
		for (int event = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1; event <= EVENTS; event++) {
			String text = "id: " + event + "\ndata: " + serving.version + "\n\n";
			if (!serving.alive) {
				if (serving.crashWithinEvent) {
					RawHttp.write(output,
							Integer.toHexString(text.length()) + "\r\n" + text.substring(0, text.length() / 2));
					TimeUnit.MILLISECONDS.sleep(5);
				}
				reset(connection);
				return;
			}
			RawHttp.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			TimeUnit.MILLISECONDS.sleep(EVENT_INTERVAL_MILLIS);
		}
		RawHttp.write(output, "0\r\n\r\n");
	}

	@Override
	public void close() throws IOException {
		Incarnation running = this.current;
		if (running != null) {
			running.alive = false;
			running.server.close();
		}
		for (Socket connection : this.connections.keySet()) {
			connection.close();
		}
	}

	/**
	 * One process of the endpoint.
	 */
	private static final class Incarnation {

		private final ServerSocket server;

		private final String version;

		private final long startedAt;

		private volatile boolean alive = true;

		private volatile boolean crashWithinEvent;

		Incarnation(ServerSocket server, String version, long startedAt) {
			this.server = server;
			this.version = version;
			this.startedAt = startedAt;
		}

		String version() {
			return this.version;
		}

	}

}
