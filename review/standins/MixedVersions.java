import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A server starts again as another version while the store is slow; then the server that runs the streams crashes. */
final class MixedVersions {

	/** x = 60 (the sheet's largest dose) times the 4 ms of an answer. */
	private static final int SLOW_ANSWER_MILLIS = 240;

	private static final int STREAMS = 8;

	private static final int EVENTS = 16;

	private static final int EVENT_MILLIS = 150;

	private MixedVersions() {
	}

	static int run(Path root, Path folder, boolean trouble) throws Exception {
		Kit.Platform platform = new Kit.Platform();
		platform.put("keyed.op", "config", Kit.CONFIGURATION.replace("VERSION", "1")
			.replace("\"timeoutMs\":15000,\"targetLatencyMs\":1200", "\"timeoutMs\":3000,\"targetLatencyMs\":500")
			.replace("\"maxAttempts\":1,\"resumable\":false", "\"maxAttempts\":2,\"resumable\":true"));
		Kit.Server first = new Kit.Server(platform, "i-engine1", "engines", 0, MixedVersions::stream);
		Kit.Gateway gateway = new Kit.Gateway(root, folder, "edge-a-1", platform.port);
		if (!gateway.awaitReady(30000)) {
			return 2;
		}
		// Sound requests earn the retries that the budget allows.
		Kit.sleep(4000);
		int served = 0;
		for (int i = 0; i < 120; i++) {
			served += (Kit.call(gateway.callers, "POST", "/chat/short", "s" + i, 3000, new byte[10]).status() == 200) ? 1 : 0;
			Kit.sleep(30);
		}
		Kit.log("short streams served: " + served + " of 120");
		if (trouble) {
			platform.answerMillis = SLOW_ANSWER_MILLIS;
			Kit.log("the store is slow: an answer takes " + SLOW_ANSWER_MILLIS + " ms");
			Kit.sleep(500);
		}
		Map<Integer, Set<String>> versions = new ConcurrentHashMap<>();
		Thread[] clients = new Thread[STREAMS];
		for (int i = 0; i < STREAMS; i++) {
			int number = i;
			versions.put(number, new TreeSet<>());
			clients[i] = Thread.ofVirtual().start(() -> read(gateway.callers, number, versions.get(number)));
		}
		Kit.sleep(100);
		Kit.Server second = new Kit.Server(platform, "i-engine2", "engines", 0, MixedVersions::stream);
		Kit.log("server i-engine2 (v1) is added");
		Kit.sleep(1250);
		second.startAgain("v2");
		Kit.log("server i-engine2 has started again as v2, under its id and address; the store has its entry");
		Kit.sleep(100);
		first.crash();
		Kit.log("server i-engine1 crashes; " + STREAMS + " streams of it are cut off");
		for (Thread client : clients) {
			client.join();
		}
		int mixed = 0;
		for (int i = 0; i < STREAMS; i++) {
			mixed += (versions.get(i).size() > 1) ? 1 : 0;
		}
		Kit.log("streams with events of two versions: " + mixed + " of " + STREAMS);
		return (mixed > 2) ? 1 : 0;
	}

	private static boolean stream(Kit.Head request, Socket connection, InputStream in, OutputStream out)
			throws IOException {
		in.readNBytes((int) Math.max(0, request.length()));
		Kit.Server server = Kit.Server.of(connection);
		String version = server.version();
		boolean brief = request.start().contains("/chat/short");
		String last = request.header("Last-Event-Id");
		int next = (last != null) ? Integer.parseInt(last) + 1 : 1;
		if (!brief) {
			Kit.log("server " + server.id + " (" + version + ") runs " + request.header("X-Banyancove-Attempt-Id") + " from event " + next);
		}
		out.write(Kit.answerHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n").getBytes());
		for (int event = next; event <= (brief ? 1 : EVENTS); event++) {
			byte[] bytes = ("id: " + event + "\ndata: words of " + version + "\n\n").getBytes(StandardCharsets.US_ASCII);
			out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
			out.write(bytes);
			out.write("\r\n".getBytes());
			out.flush();
			Kit.sleep(brief ? 1 : EVENT_MILLIS);
		}
		out.write("0\r\n\r\n".getBytes());
		out.flush();
		return true;
	}

	private static void read(int port, int number, Set<String> versions) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setSoTimeout(4000);
			socket.getOutputStream().write(Kit.requestHead("POST", "/chat/" + number, "c" + number, 3000, 10));
			socket.getOutputStream().write(new byte[10]);
			Kit.Answer answer = Kit.readAnswer(new BufferedInputStream(socket.getInputStream()));
			String text = new String(answer.body(), StandardCharsets.US_ASCII);
			for (String line : text.split("\n")) {
				if (line.startsWith("data: words of ")) {
					versions.add(line.substring("data: words of ".length()));
				}
			}
			Kit.log("client c" + number + " got " + answer.status() + ", whole " + answer.complete() + ", "
					+ text.split("\n\n").length + " events of " + versions + " " + answer.cause());
		}
		catch (IOException ex) {
			Kit.log("client c" + number + ": " + ex);
		}
	}

}
