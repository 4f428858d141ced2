import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * The platform's store and its interface for duties, as the users' pages describe them.
 */
final class Platform implements AutoCloseable {

	private static final int MAXIMUM_WAIT_MILLIS = 30_000;

	private final ServerSocket server;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	/** Receives the path and body of a call of a duty, and returns its status. */
	private volatile BiFunction<String, HttpWire.Message, Integer> duties = (path, call) -> 200;

	Platform() throws IOException {
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	void setDuties(BiFunction<String, HttpWire.Message, Integer> newDuties) {
		this.duties = newDuties;
	}

	/**
	 * Writes a record as the operator or an engine does.
	 * @return when the store acknowledged it, in monotonic ns
	 */
	synchronized long put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		byte[] content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(valueBytes)
			.array();
		records(topic).add(content);
		notifyAll();
		return System.nanoTime();
	}

	private List<byte[]> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
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
			for (HttpWire.Message call = HttpWire.read(input, false); call != null; call = HttpWire.read(input,
					false)) {
				answer(call, socket.getOutputStream());
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has left.
		}
	}

	private void answer(HttpWire.Message call, OutputStream output) throws IOException, InterruptedException {
		String[] target = call.target().split("\\?", 2);
		Map<String, String> query = query((target.length > 1) ? target[1] : "");
		switch (target[0]) {
			case "/v1/log-append" -> append(call.body(), query, output);
			case "/v1/log-read" -> read(query, output);
			case "/v1/log-newest" -> newest(query, output);
			default -> respond(output, this.duties.apply(target[0], call), new byte[0]);
		}
	}

	private static Map<String, String> query(String text) {
		Map<String, String> all = new LinkedHashMap<>();
		for (String pair : text.split("&")) {
			String[] parts = pair.split("=", 2);
			all.put(parts[0], (parts.length > 1) ? parts[1] : "");
		}
		return all;
	}

	private void append(byte[] body, Map<String, String> query, OutputStream output) throws IOException {
		String answer;
		int status = 200;
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			int offset = records.size();
			if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
				status = 412;
				answer = "{\"endOffset\":" + offset + "}";
			}
			else {
				ByteBuffer all = ByteBuffer.wrap(body);
				while (all.hasRemaining()) {
					byte[] content = new byte[all.getInt()];
					all.get(content);
					records.add(content);
				}
				notifyAll();
				answer = "{\"offset\":" + offset + ",\"endOffset\":" + records.size() + "}";
			}
		}
		respond(output, status, answer.getBytes(StandardCharsets.UTF_8));
	}

	private void read(Map<String, String> query, OutputStream output) throws IOException, InterruptedException {
		int source = Integer.parseInt(query.get("source"));
		long waitMillis = Math.min(MAXIMUM_WAIT_MILLIS, Long.parseLong(query.getOrDefault("waitMs", "0")));
		long until = System.nanoTime() + waitMillis * 1_000_000;
		ByteArrayOutputStream answer = new ByteArrayOutputStream();
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			for (long left = waitMillis; records.size() <= source && left > 0; left = (until - System.nanoTime())
					/ 1_000_000) {
				wait(left);
			}
			answer.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
			for (byte[] content : records.subList(Math.min(source, records.size()), records.size())) {
				answer.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
				answer.writeBytes(content);
			}
		}
		respond(output, 200, answer.toByteArray());
	}

	private void newest(Map<String, String> query, OutputStream output) throws IOException {
		Map<String, String> entries = new LinkedHashMap<>();
		int end;
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			end = records.size();
			for (int offset = 0; offset < end; offset++) {
				byte[] content = records.get(offset);
				int keyLength = content[0] & 0xff;
				String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
				byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length);
				if (value.length == 0) {
					entries.remove(key);
				}
				else {
					entries.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
							+ "\",\"offset\":" + offset + "}");
				}
			}
		}
		respond(output, 200, ("{\"entries\":[" + String.join(",", entries.values())
				+ "],\"hasMore\":false,\"endOffset\":" + end + "}").getBytes(StandardCharsets.UTF_8));
	}

	private static void respond(OutputStream output, int status, byte[] body) throws IOException {
		HttpWire.write(output, "HTTP/1.1 " + status + " Status\nContent-Length: " + body.length + "\n", body);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
