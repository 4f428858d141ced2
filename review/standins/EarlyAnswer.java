import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server answers a long request before it has read the body, without a length, and the connection is reset in the
 * middle of the answer.
 */
final class EarlyAnswer {

	private static final byte[] ANSWER = new byte[6000];

	private EarlyAnswer() {
	}

	static int run(Path root, Path folder, boolean trouble) throws Exception {
		Arrays.fill(ANSWER, (byte) 'a');
		Kit.Platform platform = new Kit.Platform();
		platform.put("keyed.op", "config", Kit.CONFIGURATION.replace("VERSION", "1"));
		AtomicInteger resets = new AtomicInteger();
		new Kit.Server(platform, "i-desk1", "desk", 16384, (request, connection, in, out) -> serve(request, connection, in, out, trouble, resets));
		Kit.Gateway gateway = new Kit.Gateway(root, folder, "edge-a-1", platform.port);
		if (!gateway.awaitReady(30000)) {
			Kit.log("gateway did not become ready");
			return 2;
		}
		byte[] body = new byte[4_000_000];
		Arrays.fill(body, (byte) 'b');
		int broken = 0;
		int whole = 0;
		int failed = 0;
		for (int i = 0; i < 10; i++) {
			String path = (i % 2 == 0) ? "/order/" + i : "/look/" + i;
			Kit.log("client sends POST " + path + " with " + body.length + " bytes");
			Kit.Answer answer = Kit.call(gateway.callers, "POST", path, "a" + i, 4000, body);
			Kit.log("client got status " + answer.status() + ", seal " + answer.sealed() + ", complete as framed "
					+ answer.complete() + ", " + answer.body().length + " bytes " + answer.cause());
			boolean success = answer.status() == 200 && answer.sealed() && answer.complete();
			if (success && answer.body().length != ANSWER.length) {
				broken++;
			}
			else if (success) {
				whole++;
			}
			else {
				failed++;
			}
		}
		Kit.log("answers that look complete and are not: " + broken + ", whole: " + whole + ", other: " + failed
				+ ", connections reset by the server: " + resets.get());
		if (!trouble && whole != 10) {
			return 2;
		}
		return (broken > 0) ? 1 : 0;
	}

	private static boolean serve(Kit.Head request, Socket connection, InputStream in, OutputStream out, boolean trouble,
			AtomicInteger resets) throws IOException {
		Kit.log("server got " + request.start() + " " + request.header("X-Banyancove-Attempt-Id") + ", begins to run it");
		in.readNBytes(1000);
		// The answer has no length and ends with its connection.
		out.write(Kit.answerHead(request, "Connection: close\r\n").getBytes());
		out.write(ANSWER, 0, 2000);
		out.flush();
		Kit.sleep(300);
		if (trouble) {
			Kit.log("server resets the connection after 2000 of " + ANSWER.length + " bytes");
			resets.incrementAndGet();
			connection.setSoLinger(true, 0);
			connection.close();
			return false;
		}
		out.write(ANSWER, 2000, 4000);
		out.flush();
		// Reads the rest of the request, then closes the connection.
		in.readNBytes((int) request.length() - 1000);
		connection.shutdownOutput();
		in.read();
		return false;
	}

}
