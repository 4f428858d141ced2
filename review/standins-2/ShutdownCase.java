import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Guards against requests that a stopping gateway passes on to an engine and never
 * answers, because its process ends at the moment at which it has no connection open.
 */
final class ShutdownCase extends Case {

	private static final int GATEWAYS = 5;

	private static final double REQUESTS_PER_SECOND = 200;

	private static final long WORK_MILLIS = 21;

	private static final long DEADLINE_MILLIS = 600;

	private static final long RUN_NANOS = 96_000_000_000L;

	private static final long GAP_MILLIS = 1000;

	private static final long RESTART_MILLIS = 500;

	private static final int MISSES = 2;

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final Queue<String> lost = new ConcurrentLinkedQueue<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private volatile boolean ended;

	@Override
	String run(Path folder, CaseRecord record, boolean trouble) throws Exception {
		try (Platform platform = new Platform()) {
			platform.put("keyed.op", "config", configuration(1, "\"key\""));
			for (int i = 1; i <= 3; i++) {
				this.engines.add(new Engine(platform, record, "i-" + i, "desk", WORK_MILLIS));
			}
			for (int i = 1; i <= GATEWAYS; i++) {
				this.daemons.add(new Daemon(new GatewayProcess(platform, folder, i)));
			}
			return run(record, trouble);
		}
		finally {
			this.ended = true;
			this.daemons.forEach((daemon) -> daemon.process.close());
		}
	}

	private String run(CaseRecord record, boolean trouble) throws Exception {
		for (Daemon daemon : this.daemons) {
			daemon.process.start();
		}
		for (Daemon daemon : this.daemons) {
			daemon.process.awaitReady();
			Thread.ofVirtual().start(daemon::checkReadiness);
		}
		Thread.sleep(2000);
		Thread.ofVirtual().start(() -> sendRequests(record));
		int stops = 0;
		long until = System.nanoTime() + RUN_NANOS;
		while (System.nanoTime() < until) {
			if (!trouble) {
				Thread.sleep(GAP_MILLIS);
				continue;
			}
			Daemon next = this.daemons.get(stops % GATEWAYS);
			next.process.awaitReady();
			next.restart = Thread.ofVirtual().start(() -> next.stopAndStart(record));
			stops++;
			Thread.sleep(GAP_MILLIS);
			Thread following = this.daemons.get(stops % GATEWAYS).restart;
			if (following != null) {
				following.join();
			}
		}
		this.ended = true;
		Thread.sleep(DEADLINE_MILLIS + 500);
		System.out.println("requests " + this.sent + ", answered " + this.answered + ", SIGTERMs " + stops
				+ ", passed on and not answered " + this.lost.size());
		return this.lost.isEmpty() ? null
				: "LOST, a request ran and its connection ended without an answer: " + String.join("; ", this.lost);
	}

	private void sendRequests(CaseRecord record) {
		Random random = new Random(1);
		long next = System.nanoTime();
		for (int number = 1; !this.ended; number++) {
			next += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / REQUESTS_PER_SECOND);
			try {
				Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
			}
			catch (InterruptedException ex) {
				return;
			}
			Daemon daemon = chooseDaemon(random);
			String id = "r" + number;
			Thread.ofVirtual().start(() -> request(daemon, id, record));
		}
	}

	// If fewer than half of a zone's daemons are in rotation, all of them are used.
	private Daemon chooseDaemon(Random random) {
		List<Daemon> inRotation = this.daemons.stream().filter((daemon) -> daemon.misses < MISSES).toList();
		List<Daemon> used = (2 * inRotation.size() < this.daemons.size()) ? this.daemons : inRotation;
		return used.get(random.nextInt(used.size()));
	}

	private void request(Daemon daemon, String id, CaseRecord record) {
		long startedAt = System.nanoTime();
		String outcome;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(daemon.process.host(), daemon.process.port()), 1000);
			socket.setSoTimeout(3000);
			this.sent.incrementAndGet();
			record.add("sent", id, "POST /book/x to " + daemon.process.name());
			HttpWire.write(socket.getOutputStream(),
					"POST /book/x HTTP/1.1\nHost: shop.example\nX-Banyancove-Attempt-Id: " + id
							+ "\nX-Banyancove-Deadline-Ms: " + DEADLINE_MILLIS
							+ "\nAuthorization: Bearer key\nContent-Length: 7\n",
					"booking".getBytes(StandardCharsets.US_ASCII));
			HttpWire.Message answer = HttpWire.read(new BufferedInputStream(socket.getInputStream()), false);
			if (answer != null) {
				this.answered.incrementAndGet();
				record.add("answered", id, answer.startLine());
				return;
			}
			outcome = "connection closed";
		}
		catch (IOException ex) {
			outcome = ex.getMessage();
		}
		long millis = (System.nanoTime() - startedAt) / 1_000_000;
		judge(daemon, id, outcome, startedAt, millis, record);
	}

	private void judge(Daemon daemon, String id, String outcome, long startedAt, long millis, CaseRecord record) {
		boolean ran = this.engines.stream().anyMatch((engine) -> engine.hasBegun(id));
		double sinceStop = (startedAt - daemon.stoppedAt) / 1e9;
		record.add("no answer", id, outcome + " after " + millis + " ms, ran " + ran + ", sent "
				+ String.format("%.3f", sinceStop) + " s after the SIGTERM of " + daemon.process.name());
		if (ran && millis < DEADLINE_MILLIS && daemon.stoppedAt != 0
				&& sinceStop < GatewayProcess.GRACE_SECONDS * 5 / 6.0) {
			this.lost.add(id + " at " + daemon.process.name() + " after " + millis + " ms, sent "
					+ String.format("%.3f", sinceStop) + " s after its SIGTERM");
		}
	}

	/**
	 * A gateway behind the platform's balancer.
	 */
	private final class Daemon {

		private final GatewayProcess process;

		private volatile int misses;

		private volatile long stoppedAt;

		private Thread restart;

		private Daemon(GatewayProcess process) {
			this.process = process;
		}

		private void checkReadiness() {
			while (!ShutdownCase.this.ended) {
				this.misses = this.process.isReady() ? 0 : this.misses + 1;
				try {
					Thread.sleep(1000);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		}

		private void stopAndStart(CaseRecord record) {
			try {
				record.add("SIGTERM", null, this.process.name());
				this.stoppedAt = System.nanoTime();
				this.process.signal("TERM");
				if (!this.process.awaitEnd(GatewayProcess.GRACE_SECONDS * 1000L)) {
					this.process.signal("KILL");
					this.process.awaitEnd(1000);
				}
				record.add("ended", null, this.process.name());
				Thread.sleep(RESTART_MILLIS);
				this.process.start();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
