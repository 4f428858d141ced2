import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Guards against statuses that promise that a request has not run, for a request that an
 * engine ran and then failed.
 */
final class GreyCase extends Case {

	private static final int ENGINES = 8;

	private static final long WORK_MILLIS = 21;

	private static final double FAILING_SHARE = 0.4;

	private static final long FAILING_NANOS = 6_500_000_000L;

	/** Without the header that states that the engine did not run the request. */
	private static final List<Integer> STATUSES = List.of(429, 408, 503, 500);

	private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private final List<String> broken = new ArrayList<>();

	private int number;

	private int ranAgain;

	@Override
	String run(Path folder, CaseRecord record, boolean trouble) throws Exception {
		try (Platform platform = new Platform()) {
			platform.put("keyed.op", "config", configuration(1, "\"key\""));
			List<Engine> engines = new ArrayList<>();
			for (int i = 1; i <= ENGINES; i++) {
				engines.add(new Engine(platform, record, "i-" + i, "desk", WORK_MILLIS));
			}
			try (GatewayProcess gateway = new GatewayProcess(platform, folder, 1)) {
				gateway.start();
				gateway.awaitReady();
				Thread.sleep(1500);
				send(gateway, engines, record, 2_000_000_000L);
				Engine failing = engines.stream().max(Comparator.comparingInt(Engine::runs)).orElseThrow();
				if (trouble) {
					record.add("fails", null, failing.id() + " fails " + FAILING_SHARE + " of its requests after it ran them");
					failing.fail(FAILING_SHARE, STATUSES);
				}
				send(gateway, engines, record, FAILING_NANOS);
				failing.fail(0, STATUSES);
				send(gateway, engines, record, 2_000_000_000L);
			}
		}
		System.out.println("answers " + this.outcomes + ", repeated by their clients and run again " + this.ranAgain);
		return this.broken.isEmpty() ? null : "REFUSED, " + this.broken.size()
				+ " bookings ran and were answered as if they had not: " + String.join("; ", this.broken);
	}

	private void send(GatewayProcess gateway, List<Engine> engines, CaseRecord record, long nanos) throws Exception {
		List<Thread> requests = new ArrayList<>();
		for (long until = System.nanoTime() + nanos; System.nanoTime() < until; Thread.sleep(12)) {
			String id = "b" + ++this.number;
			requests.add(Thread.ofVirtual().start(() -> {
				// A client repeats a booking only after a promise that it has not run.
				if (request(gateway, engines, record, id) && request(gateway, engines, record, id + "-2")) {
					record.add("gives up", id, "refused twice");
				}
			}));
		}
		for (Thread request : requests) {
			request.join();
		}
	}

	// Returns whether the answer promises that the request has not run.
	private boolean request(GatewayProcess gateway, List<Engine> engines, CaseRecord record, String id) {
		record.add("sent", id, "POST /book/x");
		try (Socket socket = new Socket(gateway.host(), gateway.port())) {
			socket.setSoTimeout(3000);
			HttpWire.write(socket.getOutputStream(),
					"POST /book/x HTTP/1.1\nHost: shop.example\nX-Banyancove-Attempt-Id: " + id
							+ "\nX-Banyancove-Deadline-Ms: 600\nAuthorization: Bearer key\nContent-Length: 7\n",
					"booking".getBytes(StandardCharsets.US_ASCII));
			HttpWire.Message answer = HttpWire.read(new BufferedInputStream(socket.getInputStream()), false);
			return judge(engines, record, id, answer);
		}
		catch (IOException ex) {
			record.add("no answer", id, ex.getMessage());
			return false;
		}
	}

	private synchronized boolean judge(List<Engine> engines, CaseRecord record, String id, HttpWire.Message answer) {
		if (answer == null) {
			record.add("no answer", id, "connection closed");
			return false;
		}
		boolean ran = engines.stream().anyMatch((engine) -> engine.hasBegun(id));
		String seal = (answer.header("X-Banyancove-Response-Seal") != null) ? " sealed" : "";
		record.add("answered", id, answer.startLine() + seal + (ran ? ", ran" : ", did not run"));
		this.outcomes.merge(answer.status() + seal + (ran ? " ran" : " not run"), 1, Integer::sum);
		if (ran && PROMISES.contains(answer.status())) {
			this.broken.add(id + " " + answer.status());
		}
		if (ran && id.endsWith("-2") && this.broken.stream().anyMatch((first) -> first.startsWith(id.replace("-2", " ")))) {
			this.ranAgain++;
		}
		return PROMISES.contains(answer.status());
	}

}
