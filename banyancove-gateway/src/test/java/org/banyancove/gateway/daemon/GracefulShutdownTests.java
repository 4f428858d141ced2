package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which requests a gateway accepts during its shutdown, and that those are
 * answered.
 */
class GracefulShutdownTests {

	private static final Duration SEND_INTERVAL = Duration.ofMillis(100);

	private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

	@AfterEach
	void stop() {
		this.callers.shutdownNow();
	}

	// Guards against requests that are accepted after the signal to stop and cut off in
	// progress, since the process ends before their timeout.
	@ParameterizedTest
	@CsvSource({ "3000, 1500, 1400", "3000, 2500, 2400", "4500, 2500, 2400", "1000, 300, 250" })
	void requestsAcceptedDuringTheShutdownAreAnswered(int shutdownMillis, int timeoutMillis, int responseMillis)
			throws Exception {
		try (GatewayFleet fleet = newFleet(shutdownMillis, timeoutMillis, responseMillis)) {
			CompletableFuture<Void> stopped = stopFirst(fleet);
			List<CompletableFuture<Answer>> sent = new ArrayList<>();
			while (!stopped.isDone()) {
				sent.add(send(fleet, "during-" + sent.size(), ""));
				TimeUnit.NANOSECONDS.sleep(SEND_INTERVAL.toNanos());
			}
			List<Answer> answers = sent.stream().map(CompletableFuture::join).toList();
			assertThat(answers).filteredOn((answer) -> fleet.runs().containsKey(answer.id()))
				.allMatch((answer) -> answer.status() == 200);
			assertThat(answers).filteredOn((answer) -> answer.status() == 503)
				.noneMatch((answer) -> fleet.runs().containsKey(answer.id()));
		}
	}

	// Guards against the same for a request with a timeout beyond the end of the process,
	// which is rejected from the signal on, unless its caller's deadline comes before.
	@Test
	void requestIsAcceptedByTheEarlierOfTimeoutAndDeadline() throws Exception {
		try (GatewayFleet fleet = newFleet(3000, 10_000, 200)) {
			CompletableFuture<Void> stopped = stopFirst(fleet);
			TimeUnit.MILLISECONDS.sleep(200);
			assertThat(send(fleet, "long", "").join().status()).isEqualTo(503);
			assertThat(send(fleet, "too-long", "deadline-ms: 2600\r\n").join().status()).isEqualTo(503);
			assertThat(send(fleet, "short", "deadline-ms: 1500\r\n").join().status()).isEqualTo(200);
			stopped.join();
		}
	}

	// Guards against the same after a configuration that lengthens a timeout during the
	// shutdown.
	@Test
	void timeoutLengthenedDuringTheShutdownIsRespected() throws Exception {
		try (GatewayFleet fleet = newFleet(4500, 1000, 200)) {
			CompletableFuture<Void> stopped = stopFirst(fleet);
			assertThat(send(fleet, "before", "").join().status()).isEqualTo(200);
			fleet.configure(3, Duration.ofSeconds(10));
			TimeUnit.MILLISECONDS.sleep(1800);
			assertThat(send(fleet, "after", "").join().status()).isEqualTo(503);
			stopped.join();
		}
	}

	// Guards against connections that end without an answer at the end of the process,
	// whose callers don't learn whether their requests ran.
	@Test
	void requestsInProgressAtTheEndOfTheProcessAreAnswered() throws Exception {
		try (GatewayFleet fleet = newFleet(1500, 10_000, 6000)) {
			CompletableFuture<Answer> running = send(fleet, "running", "");
			TimeUnit.MILLISECONDS.sleep(300);
			CompletableFuture<Void> stopped = stopFirst(fleet);
			assertThat(running.join().status()).isEqualTo(504);
			stopped.join();
		}
	}

	// Guards against the same for a request that is still being sent.
	@Test
	void requestThatIsStillReadAtTheEndOfTheProcessIsRejectedAsNotRun() throws Exception {
		try (GatewayFleet fleet = newFleet(1500, 1000, 200)) {
			try (Socket connection = connect(fleet)) {
				RawHttp.write(connection.getOutputStream(),
						"POST /once/x HTTP/1.1\r\nhost: host\r\nid: half\r\ncontent-length: 5\r\n\r\nha");
				CompletableFuture<Void> stopped = stopFirst(fleet);
				assertThat(read("half", connection).status()).isEqualTo(503);
				stopped.join();
			}
		}
	}

	// Guards against requests that a gateway forwards after it last checked its
	// connections, and loses when its process ends a moment later.
	@Test
	void requestAfterTheLastCheckIsNotForwarded() throws Exception {
		try (GatewayFleet fleet = newFleet(8000, 1000, 100)) {
			fleet.nodes().getFirst().shutDown();
			assertThat(send(fleet, "late", "").join().status()).isIn(0, 503);
			assertThat(fleet.runs()).isEmpty();
		}
	}

	// Guards against a process that is killed in the middle of its shutdown, since that
	// takes longer than the time it has.
	@Test
	void shutdownEndsInTimeHoweverShortThatIs() throws Exception {
		try (GatewayFleet fleet = newFleet(600, 1000, 200)) {
			long startedAt = System.nanoTime();
			fleet.nodes().getFirst().stop();
			assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(Duration.ofMillis(600));
		}
	}

	private static GatewayFleet newFleet(int shutdownMillis, int timeoutMillis, int responseMillis) throws Exception {
		GatewayFleet fleet = new GatewayFleet(1, 1, Duration.ofMillis(responseMillis));
		fleet.setShutdownTimeout(Duration.ofMillis(shutdownMillis));
		fleet.configure(2, Duration.ofMillis(timeoutMillis));
		fleet.nodes().getFirst().restart();
		awaitConfiguration(fleet);
		return fleet;
	}

	// An unknown route is reported as such once the configuration has been read.
	private static void awaitConfiguration(GatewayFleet fleet) throws IOException {
		try (Socket connection = connect(fleet)) {
			RawHttp.write(connection.getOutputStream(),
					"POST /none/x HTTP/1.1\r\nhost: host\r\nid: none\r\ncontent-length: 0\r\n\r\n");
			assertThat(read("none", connection).status()).isEqualTo(404);
		}
	}

	private CompletableFuture<Void> stopFirst(GatewayFleet fleet) {
		return CompletableFuture.runAsync(() -> {
			try {
				fleet.nodes().getFirst().stop();
			}
			catch (IOException | InterruptedException ex) {
				throw new CompletionException(ex);
			}
		}, this.callers);
	}

	private CompletableFuture<Answer> send(GatewayFleet fleet, String id, String headers) {
		return CompletableFuture.supplyAsync(() -> {
			try (Socket connection = connectAndSend(fleet, id, headers)) {
				return read(id, connection);
			}
			catch (IOException ex) {
				return new Answer(id, "");
			}
		}, this.callers);
	}

	private static Socket connect(GatewayFleet fleet) throws IOException {
		Socket connection = new Socket();
		connection.connect(fleet.nodes().getFirst().callers());
		connection.setSoTimeout(10_000);
		return connection;
	}

	private static Socket connectAndSend(GatewayFleet fleet, String id, String headers) throws IOException {
		Socket connection = connect(fleet);
		connection.getOutputStream()
			.write(("POST /once/x HTTP/1.1\r\nhost: host\r\nid: " + id + "\r\n" + headers + "content-length: 0\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		return connection;
	}

	private static Answer read(String id, Socket connection) throws IOException {
		return new Answer(id, RawHttp.readHead(connection.getInputStream()));
	}

	/**
	 * An answer.
	 *
	 * @param id the request id
	 * @param head the status and headers, empty if the connection ended without them
	 */
	private record Answer(String id, String head) {

		int status() {
			return this.head.isEmpty() ? 0 : Integer.parseInt(this.head.split(" ")[1]);
		}

	}

}
