import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Users send long bookings, within the limits of the configuration; then 1.7 times as many come for 3 s. */
final class LongRequests {

	private static final int USUAL_USERS = 18;

	private static final int BURST_USERS = 30;

	private static final int BODY_BYTES = 4_000_000;

	private static final int TIMEOUT_MILLIS = 2501;

	private static final double SECONDS = 3;

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger ended = new AtomicInteger();

	private final AtomicInteger pastTimeout = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private final AtomicInteger unansweredRan = new AtomicInteger();

	private final Set<String> ran = ConcurrentHashMap.newKeySet();

	static int run(Path root, Path folder, boolean trouble) throws Exception {
		return new LongRequests().play(root, folder, trouble);
	}

	private int play(Path root, Path folder, boolean trouble) throws Exception {
		Kit.Platform platform = new Kit.Platform();
		platform.put("keyed.op", "config", Kit.CONFIGURATION.replace("VERSION", "1")
			.replace("\"timeoutMs\":5000", "\"timeoutMs\":" + TIMEOUT_MILLIS));
		for (int i = 1; i <= 3; i++) {
			server(platform, "i-desk" + i);
		}
		Kit.Gateway gateway = new Kit.Gateway(root, folder, "edge-a-1", platform.port);
		if (!gateway.awaitReady(30000)) {
			return 2;
		}
		Kit.sleep(2000);
		use(gateway, USUAL_USERS);
		int usualServed = this.served.get();
		Kit.log("usual load: " + summary());
		if (usualServed == 0 || this.unanswered.get() > 0 || this.ended.get() > 0) {
			return 2;
		}
		use(gateway, trouble ? BURST_USERS : USUAL_USERS);
		Kit.log("then: " + summary());
		Kit.log("gateway alive: " + gateway.process.isAlive() + ", says ready: " + gateway.ready());
		boolean broken = this.unanswered.get() >= 8 && 2 * this.unanswered.get() > this.pastTimeout.get();
		return broken ? 1 : 0;
	}

	private String summary() {
		return "served " + this.served + ", answered otherwise " + this.refused + ", connection ended " + this.ended
				+ ", unanswered at timeoutMs " + this.pastTimeout + ", of these without an answer 0.5 s later "
				+ this.unanswered + ", of these run by a server " + this.unansweredRan;
	}

	private void use(Kit.Gateway gateway, int users) throws InterruptedException {
		double end = Kit.seconds() + SECONDS;
		Kit.log(users + " users send bookings of " + BODY_BYTES + " bytes, one after the other each, for " + SECONDS + " s");
		Thread[] threads = new Thread[users];
		for (int user = 0; user < users; user++) {
			String name = users + "u" + user;
			threads[user] = Thread.ofVirtual().start(() -> {
				for (int i = 0; Kit.seconds() < end; i++) {
					book(gateway, name + "-" + i);
				}
			});
		}
		for (Thread thread : threads) {
			thread.join();
		}
	}

	private void book(Kit.Gateway gateway, String id) {
		byte[] body = new byte[BODY_BYTES];
		Kit.Answer answer;
		double sent = 0;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", gateway.callers), 1000);
			socket.getOutputStream().write(Kit.requestHead("POST", "/order/" + id, id, TIMEOUT_MILLIS, body.length));
			socket.getOutputStream().write(body);
			sent = Kit.seconds();
			socket.setSoTimeout(TIMEOUT_MILLIS + 600);
			answer = Kit.readAnswer(socket.getInputStream());
		}
		catch (IOException ex) {
			answer = new Kit.Answer(0, false, false, body, ex.toString());
		}
		double waited = (sent > 0) ? Kit.seconds() - sent : 0;
		if (answer.status() == 200) {
			this.served.incrementAndGet();
		}
		else if (answer.status() > 0) {
			this.refused.incrementAndGet();
		}
		if (waited > TIMEOUT_MILLIS / 1000.0) {
			this.pastTimeout.incrementAndGet();
		}
		if (answer.status() == 0 && waited > TIMEOUT_MILLIS / 1000.0 + 0.5) {
			this.unanswered.incrementAndGet();
			if (this.ran.contains(id)) {
				this.unansweredRan.incrementAndGet();
			}
			Kit.log(String.format("client: %s, sent whole, has no answer %.2f s later; run by a server: %s", id, waited,
					this.ran.contains(id)));
		}
		else if (answer.status() != 200) {
			if (answer.status() == 0) {
				this.ended.incrementAndGet();
			}
			Kit.log(String.format("client: %s got %d %s", id, answer.status(), answer.cause()));
			Kit.sleep(400);
		}
	}

	private void server(Kit.Platform platform, String id) throws IOException {
		new Kit.Server(platform, id, "desk", 0, (request, connection, in, out) -> {
			if (!readBody(in, request.length())) {
				return false;
			}
			Kit.sleep(20);
			this.ran.add(request.header("X-Banyancove-Attempt-Id"));
			out.write((Kit.answerHead(request, "Content-Length: 6\r\n") + "booked").getBytes());
			out.flush();
			return true;
		});
	}

	private static boolean readBody(InputStream in, long length) throws IOException {
		byte[] buffer = new byte[65536];
		for (long left = length; left > 0;) {
			int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
			if (count < 0) {
				return false;
			}
			left -= count;
		}
		return true;
	}

}
