import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-ins of the platform, of servers and of clients, and the start of gateways, for the scripts of this review. */
final class Kit {

	static final String CONFIGURATION = """
			{"version":VERSION,"routes":[
			{"name":"chat","host":"h.example","pathPrefix":"/chat/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":1200,
			"priority":1,"service":"engines","maxAttempts":1,"resumable":false,"targetGapMs":400,"anonymous":false},
			{"name":"order","host":"h.example","pathPrefix":"/order/","routeKind":"non_idempotent","timeoutMs":5000,
			"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":1,"anonymous":false},
			{"name":"look","host":"h.example","pathPrefix":"/look/","routeKind":"idempotent","timeoutMs":5000,
			"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":2,"anonymous":false}],
			"services":[{"name":"engines","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,
			"engine":{"slots":64,"kvCapacity":636989,"kvBytes":18432,"linkMbps":550000.0,"moves":true,"models":[{"name":"m"}]}},
			{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[{"name":"t","apiKeys":["key"],"priority":1,"unit":"tokens","uncachedTokens":200,
			"ratePerS":2000000,"burst":2000000}]}""";

	static final long START = System.nanoTime();

	private static PrintWriter record;

	private Kit() {
	}

	static void open(Path file) throws IOException {
		record = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	static synchronized void log(String line) {
		String text = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
		record.println(text);
	}

	static double seconds() {
		return (System.nanoTime() - START) / 1e9;
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** The platform's store and cloud. */
	static final class Platform {

		final int port;

		final List<String> duties = new CopyOnWriteArrayList<>();

		/** How long each answer of the store takes. */
		volatile int answerMillis = 4;

		private final Map<String, List<byte[]>> topics = new HashMap<>();

		Platform() throws IOException {
			HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
			this.port = server.getAddress().getPort();
			server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
			server.createContext("/v1/log-append", this::append);
			server.createContext("/v1/log-read", this::read);
			server.createContext("/v1/log-newest", this::newest);
			server.createContext("/usage", this::duty);
			server.createContext("/replicas", this::duty);
			server.start();
		}

		/** Writes a record, as operators and servers do; a null value removes the key. */
		synchronized void put(String topic, byte[] key, byte[] value) {
			ByteBuffer content = ByteBuffer.allocate(1 + key.length + ((value != null) ? value.length : 0));
			content.put((byte) key.length).put(key);
			if (value != null) {
				content.put(value);
			}
			records(topic).add(content.array());
			notifyAll();
		}

		void put(String topic, String key, String value) {
			put(topic, key.getBytes(StandardCharsets.UTF_8),
					(value != null) ? value.getBytes(StandardCharsets.UTF_8) : null);
		}

		private List<byte[]> records(String topic) {
			return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
		}

		private void append(HttpExchange exchange) throws IOException {
			Kit.sleep(this.answerMillis);
			Map<String, String> query = query(exchange);
			ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
			String answer;
			int status = 200;
			synchronized (this) {
				List<byte[]> records = records(query.get("topic"));
				int offset = records.size();
				String at = query.get("at");
				if (at != null && Long.parseLong(at) != offset) {
					status = 412;
					answer = "{\"endOffset\":" + offset + "}";
				}
				else {
					while (body.hasRemaining()) {
						byte[] content = new byte[body.getInt()];
						body.get(content);
						records.add(content);
					}
					answer = "{\"offset\":" + offset + ",\"endOffset\":" + records.size() + "}";
					notifyAll();
				}
			}
			respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
		}

		private void read(HttpExchange exchange) throws IOException {
			Kit.sleep(this.answerMillis);
			Map<String, String> query = query(exchange);
			long deadline = System.nanoTime()
					+ TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
			int source = Integer.parseInt(query.get("source"));
			List<byte[]> remaining;
			long end;
			synchronized (this) {
				List<byte[]> records = records(query.get("topic"));
				long left = (deadline - System.nanoTime()) / 1_000_000;
				while (records.size() <= source && left > 0) {
					try {
						wait(left);
					}
					catch (InterruptedException ex) {
						throw new IOException(ex);
					}
					left = (deadline - System.nanoTime()) / 1_000_000;
				}
				end = records.size();
				remaining = List.copyOf(records.subList(Math.min(source, records.size()),
						Math.min(records.size(), source + 1024)));
			}
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.write(ByteBuffer.allocate(16).putLong(end).putLong(0).array());
			for (byte[] content : remaining) {
				out.write(ByteBuffer.allocate(4).putInt(content.length).array());
				out.write(content);
			}
			respond(exchange, 200, out.toByteArray());
		}

		private void newest(HttpExchange exchange) throws IOException {
			Kit.sleep(this.answerMillis);
			Map<String, String> query = query(exchange);
			TreeMap<String, String> entries = new TreeMap<>();
			long end;
			synchronized (this) {
				List<byte[]> records = records(query.get("topic"));
				end = records.size();
				for (int offset = 0; offset < records.size(); offset++) {
					byte[] content = records.get(offset);
					int length = content[0] & 0xff;
					String key = new String(content, 1, length, StandardCharsets.UTF_8);
					byte[] value = java.util.Arrays.copyOfRange(content, 1 + length, content.length);
					if (value.length == 0) {
						entries.remove(key);
					}
					else {
						entries.put(key, "{\"key\":\"" + key + "\",\"value\":\""
								+ Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
					}
				}
			}
			if (query.get("after") != null) {
				entries = new TreeMap<>(entries.tailMap(query.get("after"), false));
			}
			respond(exchange, 200, ("{\"entries\":[" + String.join(",", entries.values())
					+ "],\"hasMore\":false,\"endOffset\":" + end + "}").getBytes(StandardCharsets.UTF_8));
		}

		private void duty(HttpExchange exchange) throws IOException {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			this.duties.add(exchange.getRequestURI() + " "
					+ exchange.getRequestHeaders().getFirst("X-Banyancove-Lease-Holder") + " "
					+ exchange.getRequestHeaders().getFirst("X-Banyancove-Fencing-Token") + " " + body);
			respond(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8));
		}

		private static Map<String, String> query(HttpExchange exchange) {
			Map<String, String> all = new LinkedHashMap<>();
			for (String pair : exchange.getRequestURI().getQuery().split("&")) {
				String[] parts = pair.split("=", 2);
				all.put(parts[0], parts[1]);
			}
			return all;
		}

		private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
			exchange.sendResponseHeaders(status, body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		}

	}

	/** An HTTP/1.1 message head. */
	record Head(String start, Map<String, String> headers) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		long length() {
			String value = header("content-length");
			return (value != null) ? Long.parseLong(value) : -1;
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

	}

	static Head readHead(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		String start = null;
		Map<String, String> headers = new HashMap<>();
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (start == null && line.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended within a head");
			}
			if (next != '\n') {
				line.write(next);
				continue;
			}
			String text = line.toString(StandardCharsets.ISO_8859_1).strip();
			line.reset();
			if (text.isEmpty()) {
				if (start != null) {
					return new Head(start, headers);
				}
				continue;
			}
			if (start == null) {
				start = text;
			}
			else {
				int colon = text.indexOf(':');
				headers.put(text.substring(0, colon).strip().toLowerCase(Locale.ROOT), text.substring(colon + 1).strip());
			}
		}
	}

	/** Serves one request on a connection. */
	interface Handler {

		/** Returns whether the connection is kept. */
		boolean serve(Head request, Socket connection, InputStream in, OutputStream out) throws IOException;

	}

	/** A server of a service. */
	static final class Server {

		final String id;

		final String service;

		final ServerSocket socket;

		final List<Socket> connections = new CopyOnWriteArrayList<>();

		private static final Map<Socket, Server> SERVERS = new java.util.concurrent.ConcurrentHashMap<>();

		private long born = System.currentTimeMillis();

		private String version = "v1";

		private final Handler handler;

		private final Platform platform;

		private int sequence;

		private volatile boolean beats = true;

		Server(Platform platform, String id, String service, int receiveBuffer, Handler handler) throws IOException {
			this.platform = platform;
			this.id = id;
			this.service = service;
			this.handler = handler;
			this.socket = new ServerSocket();
			if (receiveBuffer > 0) {
				this.socket.setReceiveBufferSize(receiveBuffer);
			}
			this.socket.bind(new InetSocketAddress("127.0.0.1", 0), 300);
			Thread.ofPlatform().daemon().start(this::accept);
			write("ready");
			Thread.ofPlatform().daemon().start(() -> {
				while (true) {
					sleep(1200);
					beat();
				}
			});
		}

		private synchronized void beat() {
			if (this.beats) {
				write("ready");
			}
		}

		synchronized void write(String state) {
			this.platform.put("keyed.servers", this.id,
					"{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.socket.getLocalPort()
							+ "\",\"zone\":\"a\",\"version\":\"" + this.version + "\",\"slots\":64,\"state\":\"" + state
							+ "\",\"warmupLeftMs\":0,\"sequence\":" + this.sequence++ + ",\"born\":" + this.born + "}");
		}

		/** Stops the heartbeats; the last entry stands until it is removed. */
		synchronized void stopBeats() {
			this.beats = false;
		}

		static Server of(Socket connection) {
			return SERVERS.get(connection);
		}

		synchronized String version() {
			return this.version;
		}

		/** The server starts again under its id and address, as another process. */
		synchronized void startAgain(String newVersion) throws IOException {
			for (Socket connection : this.connections) {
				if (!connection.isClosed()) {
					connection.setSoLinger(true, 0);
					connection.close();
				}
			}
			this.version = newVersion;
			this.born = System.currentTimeMillis();
			write("ready");
		}

		/** The server ends without a word; its entry stands. */
		void crash() throws IOException {
			stopBeats();
			this.socket.close();
			for (Socket connection : this.connections) {
				if (!connection.isClosed()) {
					connection.setSoLinger(true, 0);
					connection.close();
				}
			}
		}

		/** The server ends: its socket and connections are closed and its entry is removed. */
		void leave() throws IOException {
			stopBeats();
			this.socket.close();
			for (Socket connection : this.connections) {
				connection.close();
			}
			this.platform.put("keyed.servers", this.id, null);
		}

		private void accept() {
			while (true) {
				try {
					Socket connection = this.socket.accept();
					connection.setTcpNoDelay(true);
					this.connections.add(connection);
					SERVERS.put(connection, this);
					Thread.ofVirtual().start(() -> serve(connection));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket connection) {
			try (connection) {
				InputStream in = new java.io.BufferedInputStream(connection.getInputStream(), 1024);
				OutputStream out = connection.getOutputStream();
				Head head = readHead(in);
				while (head != null && this.handler.serve(head, connection, in, out)) {
					head = readHead(in);
				}
			}
			catch (IOException ex) {
				// The connection ended.
			}
		}

	}

	static String answerHead(Head request, String framing) {
		return "HTTP/1.1 200 OK\r\nX-Banyancove-Attempt-Id: " + request.header("X-Banyancove-Attempt-Id")
				+ "\r\nX-Banyancove-Response-Seal: 3e1b.07.5a2\r\nX-Banyancove-Instance-Load: 1,0,64\r\nKeep-Alive: timeout=5\r\n"
				+ framing + "\r\n";
	}

	/** A gateway, started with the command of the deploy file. */
	static final class Gateway {

		final Process process;

		final int callers;

		final int readiness;

		Gateway(Path root, Path folder, String name, int platformPort) throws IOException {
			this.callers = freePort();
			this.readiness = freePort();
			int peers = freePort();
			String settings = """
					{"nodeName":"NAME","role":"gateway","machineClass":"edge","serves":["edge"],"ip":"127.0.0.1","zone":"a",
					"region":"r","zones":{"a":"r"},"portRange":[PEERS,PEERS],
					"listen":{"frontend":"127.0.0.1:CALLERS","readiness":"127.0.0.1:READINESS"},"seeds":[],"bootstrap":true,
					"heartbeatMs":1200,"discovery":"platform","entry":"vip",
					"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"],
					"limits":{"cpuQuota":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
					"faultTolerance":{"machines":1,"zones":1,"regions":0},
					"bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
					"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"partitionSlackMs":5000,"retryBudgetRatio":0.2,
					"retryWindowS":10,"retryBurst":52,"quotaWindowS":8,"quotaOvershoot":0.1,"quotaSlack":140000,
					"fencingEnforced":false,"leaseMs":3000,"thawMs":300,"usageWindowS":5,"usageTolerance":0.05,"usageLateS":10,
					"recoverS":12,"eventDelayMs":120,"retryAfterS":10},
					"platform":{"address":"127.0.0.1:PLATFORM","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,
					"keep_s":300},
					"cloud":{"address":"127.0.0.1:PLATFORM","ratePerS":50.0,"duties":["usage_report","autoscale"],
					"dutiesPerS":50.0}}""".replace("NAME", name)
				.replace("PEERS", "" + peers)
				.replace("CALLERS", "" + this.callers)
				.replace("READINESS", "" + this.readiness)
				.replace("PLATFORM", "" + platformPort);
			Path file = folder.resolve(name + ".json");
			Files.writeString(file, settings);
			ProcessBuilder builder = new ProcessBuilder("target/gateway/runtime/bin/java", "@target/gateway/options",
					"org.banyancove.platformadapter.PlatformProgram");
			builder.directory(root.toFile());
			builder.environment().put("BANYANCOVE_CONFIG", file.toString());
			builder.environment().put("BANYANCOVE_CALLERS", "127.0.0.1:" + this.callers);
			builder.environment().put("BANYANCOVE_METRICS_PORT", "" + freePort());
			builder.redirectErrorStream(true);
			builder.redirectOutput(folder.resolve(name + ".log").toFile());
			this.process = builder.start();
			Runtime.getRuntime().addShutdownHook(new Thread(this::end));
			log("gateway " + name + " started");
		}

		private void end() {
			try {
				this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		int ready() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", this.readiness), 1000);
				socket.setSoTimeout(1000);
				socket.getOutputStream()
					.write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
				Head head = readHead(socket.getInputStream());
				return (head != null) ? head.status() : 0;
			}
			catch (IOException ex) {
				return 0;
			}
		}

		boolean awaitReady(long millis) {
			long end = System.nanoTime() + millis * 1_000_000;
			while (System.nanoTime() < end && this.process.isAlive()) {
				if (ready() == 200) {
					log("gateway is ready");
					return true;
				}
				sleep(100);
			}
			return false;
		}

	}

	/** An answer as a client saw it; status 0 for none, with the cause. */
	record Answer(int status, boolean sealed, boolean complete, byte[] body, String cause) {
	}

	static byte[] requestHead(String method, String path, String id, int deadline, long length) {
		return (method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Banyancove-Attempt-Id: " + id
				+ "\r\nX-Banyancove-Deadline-Ms: " + deadline + "\r\nAuthorization: Bearer key\r\n"
				+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n")
			.getBytes(StandardCharsets.US_ASCII);
	}

	static Answer readAnswer(InputStream in) {
		Head head;
		try {
			head = readHead(in);
		}
		catch (SocketTimeoutException ex) {
			return new Answer(0, false, false, new byte[0], "no answer in time");
		}
		catch (IOException ex) {
			return new Answer(0, false, false, new byte[0], ex.toString());
		}
		if (head == null) {
			return new Answer(0, false, false, new byte[0], "connection closed");
		}
		boolean sealed = head.header("X-Banyancove-Response-Seal") != null;
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if (head.length() >= 0) {
				byte[] all = in.readNBytes((int) head.length());
				return new Answer(head.status(), sealed, all.length == head.length(), all, "");
			}
			if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
				while (true) {
					String size = line(in);
					int length = Integer.parseInt(size.strip(), 16);
					body.write(in.readNBytes(length));
					line(in);
					if (length == 0) {
						return new Answer(head.status(), sealed, true, body.toByteArray(), "");
					}
				}
			}
			body.write(in.readAllBytes());
			return new Answer(head.status(), sealed, true, body.toByteArray(), "ended with the connection");
		}
		catch (IOException | NumberFormatException ex) {
			return new Answer(head.status(), sealed, false, body.toByteArray(), ex.toString());
		}
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				throw new EOFException("the connection ended within a chunk");
			}
			line.write(next);
		}
		return line.toString(StandardCharsets.US_ASCII);
	}

	static Answer call(int port, String method, String path, String id, int deadline, byte[] body) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setSoTimeout(deadline + 500);
			socket.getOutputStream().write(requestHead(method, path, id, deadline, (body != null) ? body.length : -1));
			if (body != null) {
				socket.getOutputStream().write(body);
			}
			return readAnswer(socket.getInputStream());
		}
		catch (IOException ex) {
			return new Answer(0, false, false, new byte[0], ex.toString());
		}
	}

}
