import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A gateway, started with the command of the deploy file.
 */
final class GatewayProcess implements AutoCloseable {

	static final int GRACE_SECONDS = 8;

	private static final String COMMAND = "target/gateway/runtime/bin/java @target/gateway/options "
			+ "org.banyancove.platformadapter.PlatformProgram";

	private static final long READY_NANOS = 30_000_000_000L;

	private final String name;

	private final String host;

	private final int[] ports;

	private final Path settings;

	private final File log;

	private Process process;

	/**
	 * Creates a gateway that does not run yet.
	 * @param platform the platform
	 * @param folder the folder of its settings and log
	 * @param number the number of the gateway, from 1, which gives it a loopback address
	 */
	GatewayProcess(Platform platform, Path folder, int number) throws IOException {
		this.name = "edge-a-" + number;
		this.host = "127.0.0." + (10 + number);
		this.ports = freePorts(this.host, 3);
		this.settings = folder.resolve(this.name + ".json");
		this.log = folder.resolve(this.name + ".log").toFile();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		Files.writeString(this.settings, """
				{"nodeName": "%s", "role": "gateway", "machineClass": "edge", "serves": ["edge"], "ip": "%s",
				"zone": "a", "region": "r", "portRange": [%d, %d], "seeds": [], "bootstrap": true,
				"heartbeatMs": 1000, "zones": {"a": "r"},
				"listen": {"frontend": "%s", "readiness": "%s:%d"},
				"limits": {"cpuQuota": 0.75, "cores": 1, "memoryMb": 430, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
				"bounds": {"contactMs": 3000, "drainMs": 2000, "graceS": %d, "lossSlackMs": 200, "configApplyMs": 2000,
				"retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBurst": 52, "quotaWindowS": 8, "quotaOvershoot": 0.1,
				"quotaSlack": 140000, "fencingEnforced": false, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5,
				"usageTolerance": 0.05, "usageLateS": 10, "recoverS": 12},
				"platform": {"address": "%s", "form": "log", "writesPerS": 400, "readsPerS": 2000, "keep_s": 20},
				"cloud": {"address": "%s", "ratePerS": 50.0, "duties": ["usage_report"], "dutiesPerS": 50.0}}
				""".formatted(this.name, this.host, this.ports[2], this.ports[2], frontend(), this.host,
				this.ports[1], GRACE_SECONDS, platform.address(), platform.address()));
	}

	private static int[] freePorts(String host, int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		int[] ports = new int[count];
		for (int i = 0; i < count; i++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
			sockets.add(socket);
			ports[i] = socket.getLocalPort();
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	String name() {
		return this.name;
	}

	String host() {
		return this.host;
	}

	int port() {
		return this.ports[0];
	}

	private String frontend() {
		return this.host + ":" + this.ports[0];
	}

	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(COMMAND.split(" "));
		builder.environment().put("BANYANCOVE_CONFIG", this.settings.toString());
		builder.environment().put("BANYANCOVE_CALLERS", frontend());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log));
		this.process = builder.start();
	}

	void awaitReady() throws IOException, InterruptedException {
		long until = System.nanoTime() + READY_NANOS;
		while (!isReady()) {
			if (System.nanoTime() > until || !this.process.isAlive()) {
				throw new IOException("gateway did not become ready: " + this.name);
			}
			Thread.sleep(50);
		}
	}

	boolean isReady() {
		try {
			HttpURLConnection question = (HttpURLConnection) URI
				.create("http://" + this.host + ":" + this.ports[1] + "/v1/readyz")
				.toURL()
				.openConnection();
			question.setConnectTimeout(300);
			question.setReadTimeout(300);
			return question.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
	}

	boolean awaitEnd(long millis) throws InterruptedException {
		return this.process.waitFor(millis, TimeUnit.MILLISECONDS);
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	@Override
	public void close() {
		if (this.process != null && this.process.isAlive()) {
			this.process.destroyForcibly();
		}
	}

}
