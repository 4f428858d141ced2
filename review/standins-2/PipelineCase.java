import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Guards against requests that are passed on to an engine and never answered, because
 * their caller sends the next ones on the same connection faster than they are answered.
 */
final class PipelineCase extends Case {

	private static final int CONNECTIONS = 8;

	private static final double REQUESTS_PER_SECOND = 30;

	private static final double BURST = 1.7;

	private static final long WORK_MILLIS = 21;

	private static final long CALM_NANOS = 10_000_000_000L;

	private static final long BURST_NANOS = 3_000_000_000L;

	private static final int ALLOWED = 3;

	private final List<Engine> engines = new ArrayList<>();

	private final Queue<String> lost = new ConcurrentLinkedQueue<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private long startedAt;

	@Override
	String run(Path folder, CaseRecord record, boolean trouble) throws Exception {
		try (Platform platform = new Platform()) {
			platform.put("keyed.op", "config", configuration(1, "\"key\""));
			for (int i = 1; i <= 3; i++) {
				this.engines.add(new Engine(platform, record, "i-" + i, "desk", WORK_MILLIS));
			}
			try (GatewayProcess gateway = new GatewayProcess(platform, folder, 1)) {
				gateway.start();
				gateway.awaitReady();
				Thread.sleep(5000);
				this.startedAt = System.nanoTime();
				List<Thread> callers = new ArrayList<>();
				for (int i = 1; i <= CONNECTIONS; i++) {
					String caller = "c" + i;
					callers.add(Thread.ofVirtual().start(() -> call(gateway, caller, record, trouble)));
				}
				for (Thread caller : callers) {
					caller.join();
				}
			}
		}
		System.out.println("requests " + this.sent + ", answered " + this.answered + ", connections closed after a "
				+ "request was passed on " + this.lost.size());
		return (this.lost.size() <= ALLOWED) ? null : "LOST, more than three times a request from a kept connection "
				+ "ran and the connection was closed without its answer: " + String.join("; ", this.lost);
	}

	private void call(GatewayProcess gateway, String caller, CaseRecord record, boolean trouble) {
		Random random = new Random(caller.hashCode());
		int[] number = { 0 };
		while (elapsed() < 2 * CALM_NANOS + BURST_NANOS) {
			try (Socket socket = new Socket(gateway.host(), gateway.port())) {
				socket.setTcpNoDelay(true);
				callOn(socket, caller, number, random, record, trouble);
			}
			catch (IOException | InterruptedException ex) {
				record.add("closed", null, caller + ": " + ex.getMessage());
			}
		}
	}

	private void callOn(Socket socket, String caller, int[] number, Random random, CaseRecord record, boolean trouble)
			throws IOException, InterruptedException {
		Map<String, Boolean> waiting = new ConcurrentHashMap<>();
		Thread reader = Thread.ofVirtual().start(() -> readAnswers(socket, waiting, record));
		int answersBefore = this.answered.get();
		try {
			long next = System.nanoTime();
			while (reader.isAlive() && elapsed() < 2 * CALM_NANOS + BURST_NANOS) {
				next += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / rate(trouble));
				Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
				String id = caller + "-" + ++number[0];
				waiting.put(id, true);
				this.sent.incrementAndGet();
				record.add("sent", id, "GET /look/x, " + waiting.size() + " unanswered on the connection");
				HttpWire.write(socket.getOutputStream(), "GET /look/x HTTP/1.1\nHost: shop.example\n"
						+ "X-Banyancove-Attempt-Id: " + id
						+ "\nX-Banyancove-Deadline-Ms: 1000\nAuthorization: Bearer key\n", new byte[0]);
			}
		}
		finally {
			// The caller reads what is due, then leaves.
			for (int i = 0; i < 200 && reader.isAlive() && !waiting.isEmpty(); i++) {
				Thread.sleep(10);
			}
			judge(caller, waiting, reader.isAlive() || this.answered.get() == answersBefore, record);
		}
	}

	private void judge(String caller, Map<String, Boolean> waiting, boolean open, CaseRecord record) {
		List<String> ran = waiting.keySet()
			.stream()
			.filter((id) -> this.engines.stream().anyMatch((engine) -> engine.hasBegun(id)))
			.sorted()
			.toList();
		if (!open && !ran.isEmpty()) {
			record.add("no answer", null, caller + ": the connection was closed with " + waiting.size()
					+ " requests unanswered, of which ran " + ran);
			this.lost.add(caller + " " + ran);
		}
	}

	private void readAnswers(Socket socket, Map<String, Boolean> waiting, CaseRecord record) {
		try {
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			for (HttpWire.Message answer = HttpWire.read(input, false); answer != null; answer = HttpWire.read(input,
					false)) {
				String id = answer.header("X-Banyancove-Attempt-Id");
				// The gateway's own answers name no request; they come in order.
				record.add("answered", id, answer.startLine() + " " + answer.text().strip());
				this.answered.incrementAndGet();
				if (id != null) {
					waiting.remove(id);
				}
				else {
					waiting.keySet().stream().min((a, b) -> Integer.compare(number(a), number(b))).ifPresent(waiting::remove);
				}
			}
		}
		catch (IOException ex) {
			record.add("closed", null, ex.getMessage());
		}
	}

	private static int number(String id) {
		return Integer.parseInt(id.substring(id.indexOf('-') + 1));
	}

	private double rate(boolean trouble) {
		boolean burst = trouble && elapsed() >= CALM_NANOS && elapsed() < CALM_NANOS + BURST_NANOS;
		return REQUESTS_PER_SECOND * (burst ? BURST : 1);
	}

	private long elapsed() {
		return System.nanoTime() - this.startedAt;
	}

}
