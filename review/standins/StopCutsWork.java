import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A gateway gets SIGTERM; bookings that it accepts afterwards, in its grace period, are cut off while they run. */
final class StopCutsWork {

	private static final int WORK_MILLIS = 2350;

	private StopCutsWork() {
	}

	static int run(Path root, Path folder, boolean trouble) throws Exception {
		Kit.Platform platform = new Kit.Platform();
		platform.put("keyed.op", "config", Kit.CONFIGURATION.replace("VERSION", "1")
			.replace("\"timeoutMs\":5000", "\"timeoutMs\":2501"));
		Set<String> ended = ConcurrentHashMap.newKeySet();
		Set<String> begun = ConcurrentHashMap.newKeySet();
		new Kit.Server(platform, "i-desk1", "desk", 0, (request, connection, in, out) -> {
			String id = request.header("X-Banyancove-Attempt-Id");
			in.readNBytes((int) Math.max(0, request.length()));
			begun.add(id);
			Kit.log("server begins to run " + id + ", deadline " + request.header("X-Banyancove-Deadline-Ms") + " ms");
			Kit.sleep(request.start().contains("/order/slow") ? WORK_MILLIS : 20);
			ended.add(id);
			Kit.log("server has run " + id);
			out.write((Kit.answerHead(request, "Content-Length: 6\r\n") + "booked").getBytes());
			out.flush();
			return true;
		});
		new Kit.Server(platform, "i-engine1", "engines", 0, (request, connection, in, out) -> {
			in.readNBytes((int) Math.max(0, request.length()));
			out.write(Kit.answerHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n").getBytes());
			for (int event = 1; event <= 76; event++) {
				byte[] bytes = ("id: " + event + "\ndata: words\n\n").getBytes();
				out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
				out.write(bytes);
				out.write("\r\n".getBytes());
				out.flush();
				Kit.sleep(95);
			}
			out.write("0\r\n\r\n".getBytes());
			out.flush();
			return true;
		});
		Kit.Gateway gateway = new Kit.Gateway(root, folder, "edge-a-1", platform.port);
		if (!gateway.awaitReady(30000)) {
			return 2;
		}
		Kit.sleep(3000);
		Thread plan = Thread.ofVirtual().start(() -> {
			Kit.Answer answer = Kit.call(gateway.callers, "POST", "/chat/1", "p1", 15000, new byte[600]);
			Kit.log("client: the stream p1 ended: " + answer.status() + ", whole " + answer.complete());
		});
		Kit.sleep(200);
		double stopped = Kit.seconds();
		if (trouble) {
			gateway.process.destroy();
			Kit.log("SIGTERM to the gateway; graceS is 8");
		}
		// The zone has this gateway alone, so that the platform still sends it new connections.
		Map<Integer, Kit.Answer> answers = new ConcurrentHashMap<>();
		Thread[] threads = new Thread[29];
		for (int i = 0; i < threads.length; i++) {
			int number = i;
			Kit.sleep(200);
			threads[i] = Thread.ofVirtual().start(() -> {
				double sent = Kit.seconds() - stopped;
				Kit.Answer answer = Kit.call(gateway.callers, "POST", (number < 23 ? "/order/" : "/order/slow") + number, "a" + number, 2501, new byte[600]);
				answers.put(number, answer);
				Kit.log(String.format("client: a%d, sent %.2f s after the SIGTERM, got %d %s at %.2f s", number, sent,
						answer.status(), answer.cause(), Kit.seconds() - stopped));
			});
		}
		for (Thread thread : threads) {
			thread.join();
		}
		plan.join();
		Kit.sleep(2500);
		int lost = 0;
		int served = 0;
		for (int i = 0; i < threads.length; i++) {
			Kit.Answer answer = answers.get(i);
			if (answer.status() == 200) {
				served++;
			}
			// Those sent up to 3 s after the SIGTERM are excused.
			if (answer.status() == 0 && begun.contains("a" + i) && (i + 1) * 200 > 3000) {
				lost++;
				Kit.log("lost: a" + i + ", run to its end: " + ended.contains("a" + i));
			}
		}
		Kit.log("accepted, passed on and cut off: " + lost + ", served: " + served + ", gateway alive: "
				+ gateway.process.isAlive());
		if (!trouble && served != threads.length) {
			return 2;
		}
		return (lost > 0) ? 1 : 0;
	}

}
