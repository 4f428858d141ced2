import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound engine of a plain service: it runs each request, echoes its id and seals its
 * answer, whose body names the request.
 */
final class Engine implements AutoCloseable {

	private static final long HEARTBEAT_MILLIS = 1000;

	private final String id;

	private final String service;

	private final CaseRecord record;

	private final long workMillis;

	private final ServerSocket server;

	private final AtomicInteger running = new AtomicInteger();

	private final Set<String> begun = ConcurrentHashMap.newKeySet();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger failures = new AtomicInteger();

	private volatile double failingShare;

	private volatile List<Integer> failureStatuses = List.of();

	Engine(Platform platform, CaseRecord record, String id, String service, long workMillis) throws IOException {
		this.id = id;
		this.service = service;
		this.record = record;
		this.workMillis = workMillis;
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::accept);
		long born = System.currentTimeMillis();
		Thread.ofVirtual().start(() -> beat(platform, born));
	}

	private void beat(Platform platform, long born) {
		for (int sequence = 1; !this.server.isClosed(); sequence++) {
			platform.put("keyed.servers", this.id,
					"{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.server.getLocalPort()
							+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
							+ "\"warmupLeftMs\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
			try {
				Thread.sleep(HEARTBEAT_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/**
	 * Makes a share of the requests fail after they have run.
	 * @param share the share, 0 for none
	 * @param statuses the statuses of the failures, which take turns
	 */
	void fail(double share, List<Integer> statuses) {
		this.failureStatuses = statuses;
		this.failingShare = share;
	}

	String id() {
		return this.id;
	}

	int runs() {
		return this.begun.size();
	}

	boolean hasBegun(String requestId) {
		return this.begun.contains(requestId);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			for (HttpWire.Message request = HttpWire.read(input, false); request != null; request = HttpWire.read(input,
					false)) {
				run(request, socket.getOutputStream());
			}
		}
		catch (IOException ex) {
			// The gateway has left.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private void run(HttpWire.Message request, OutputStream output) throws IOException {
		String requestId = request.header("X-Banyancove-Attempt-Id");
		if (!this.id.equals(request.header("X-Banyancove-Expected-Instance"))) {
			HttpWire.write(output, "HTTP/1.1 421 Misdirected Request\nContent-Length: 0\n", new byte[0]);
			return;
		}
		int load = this.running.incrementAndGet();
		this.begun.add(requestId);
		this.record.add("ran", requestId, request.startLine() + " at " + this.id);
		try {
			Thread.sleep(this.workMillis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
		finally {
			this.running.decrementAndGet();
		}
		boolean fails = Math.random() < this.failingShare;
		String status = fails ? this.failureStatuses.get(this.failures.getAndIncrement() % this.failureStatuses.size())
				+ " Failed" : "200 OK";
		if (fails) {
			this.record.add("failed", requestId, status + " at " + this.id);
		}
		byte[] body = ("answer to " + requestId + "\n").getBytes(StandardCharsets.ISO_8859_1);
		HttpWire.write(output,
				"HTTP/1.1 " + status + "\nContent-Type: text/plain\nX-Banyancove-Attempt-Id: " + requestId
						+ "\nX-Banyancove-Response-Seal: " + this.id + "." + requestId
						+ "\nX-Banyancove-Instance-Load: " + load + ",0,64\nKeep-Alive: timeout=5\nContent-Length: "
						+ body.length + "\n",
				request.method().equals("HEAD") ? new byte[0] : body);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
