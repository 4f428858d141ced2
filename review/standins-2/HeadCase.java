import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Guards against bytes that follow the answer to a HEAD request, which the caller reads
 * as the answer to its next request.
 */
final class HeadCase extends Case {

	private static final long APPLY_MILLIS = 2500;

	@Override
	String run(Path folder, CaseRecord record, boolean trouble) throws Exception {
		try (Platform platform = new Platform()) {
			platform.put("keyed.op", "config", configuration(1, "\"first\",\"second\""));
			new Engine(platform, record, "i-1", "desk", 15);
			new Engine(platform, record, "i-2", "desk", 15);
			try (GatewayProcess gateway = new GatewayProcess(platform, folder, 1)) {
				gateway.start();
				gateway.awaitReady();
				Thread.sleep(1000);
				return run(platform, gateway, record, trouble);
			}
		}
	}

	private static String run(Platform platform, GatewayProcess gateway, CaseRecord record, boolean trouble)
			throws Exception {
		try (Socket socket = new Socket(gateway.host(), gateway.port())) {
			socket.setSoTimeout(3000);
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			String broken = ask(socket, input, record, "HEAD", "h1", "first", 200);
			broken = (broken != null) ? broken : ask(socket, input, record, "POST", "b1", "second", 200);
			if (broken != null) {
				throw new IOException("before the disruption: " + broken);
			}
			if (trouble) {
				platform.put("keyed.op", "config", configuration(2, "\"second\""));
				record.add("config", null, "version 2 takes the key 'first' away");
			}
			Thread.sleep(APPLY_MILLIS);
			broken = ask(socket, input, record, "HEAD", "h2", "first", trouble ? 401 : 200);
			return (broken != null) ? broken : ask(socket, input, record, "POST", "b2", "second", 200);
		}
	}

	// The caller reads a head, then the body that the method and the head call for.
	private static String ask(Socket socket, BufferedInputStream input, CaseRecord record, String method, String id,
			String key, int expected) throws IOException {
		String path = method.equals("HEAD") ? "/look/x" : "/book/x";
		byte[] body = (method.equals("HEAD") ? "" : "booking").getBytes(StandardCharsets.US_ASCII);
		record.add("sent", id, method + " " + path + " with the key '" + key + "'");
		HttpWire.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1\nHost: shop.example\n"
				+ "X-Banyancove-Attempt-Id: " + id + "\nX-Banyancove-Deadline-Ms: 1000\nAuthorization: Bearer " + key
				+ "\nContent-Length: " + body.length + "\n", body);
		HttpWire.Message answer = HttpWire.read(input, method.equals("HEAD"));
		if (answer == null) {
			return "MIXED, " + id + ": the connection ended without an answer";
		}
		record.add("answered", id, answer.startLine() + " | " + answer.text().strip());
		if (answer.status() < 0) {
			return "MIXED, " + id + " got bytes that are no answer in the protocol: " + answer.startLine();
		}
		if (answer.status() != expected) {
			return "MIXED, " + id + " got status " + answer.status() + " instead of " + expected;
		}
		if (expected == 200 && !id.equals(answer.header("X-Banyancove-Attempt-Id"))) {
			return "MIXED, " + id + " got the answer to " + answer.header("X-Banyancove-Attempt-Id");
		}
		if (expected == 200 && method.equals("POST") && !answer.text().equals("answer to " + id + "\n")) {
			return "MIXED, " + id + " got the body " + new String(answer.body(), StandardCharsets.ISO_8859_1);
		}
		return null;
	}

}
