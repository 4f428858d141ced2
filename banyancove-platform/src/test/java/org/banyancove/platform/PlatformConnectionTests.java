package org.banyancove.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;

import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PlatformConnectionTests {

	private static final Duration TIMEOUT = Duration.ofMillis(400);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	@AfterEach
	void stop() {
		this.executor.shutdownNow();
	}

	// Guards against timeouts on connections that have become unresponsive. Three
	// concurrent calls open three connections, all of which become unresponsive. No call
	// after that may use one of them.
	@Test
	void callReusesNoConnection() throws Exception {
		try (UnresponsiveServer server = new UnresponsiveServer("{\"firstOffset\":1,\"lastOffset\":2}");
				PlatformConnection connection = connect(server)) {
			LogClient log = new LogClient(connection);
			List<CompletableFuture<AppendResult>> calls = IntStream.range(0, 3).mapToObj((i) -> append(log)).toList();
			calls.forEach((call) -> assertThat(call.join()).isEqualTo(new AppendResult.Appended(1, 2)));
			server.stopRespondingOnOpenConnections();
			int open = server.connections();
			assertThat(append(log).join()).isEqualTo(new AppendResult.Appended(1, 2));
			assertThat(append(log).join()).isEqualTo(new AppendResult.Appended(1, 2));
			assertThat(server.connections()).isEqualTo(open + 2);
		}
	}

	// Guards against calls that go on after the connection was closed.
	@Test
	void closeCancelsCallsInProgress() throws Exception {
		try (UnresponsiveServer server = new UnresponsiveServer("{}")) {
			server.stopResponding();
			PlatformConnection connection = connect(server);
			CompletableFuture<AppendResult> call = append(new LogClient(connection));
			while (server.requests() < 1) {
				Thread.onSpinWait();
			}
			connection.close();
			assertThat(call.join()).isInstanceOf(AppendResult.Unanswered.class)
				.extracting("reason")
				.asString()
				.doesNotContain("TimeoutException");
		}
	}

	// The headers of a response arrive but its body does not. The JDK's own timeout only
	// covers the headers, so a call without a timeout of its own would never complete.
	@Test
	void responseWithoutABodyTimesOut() throws Exception {
		try (UnresponsiveServer server = new UnresponsiveServer("{\"firstRetained\":0,\"endOffset\":0,\"records\":[]}");
				PlatformConnection connection = connect(server)) {
			LogClient log = new LogClient(connection);
			server.stopAfterHeaders(true);
			CompletableFuture<LogPage> page = log.read("profiles", 0, 10, Duration.ZERO);
			assertThatExceptionOfType(Exception.class).isThrownBy(page::join)
				.satisfies((ex) -> assertThat(ex.getCause()).isInstanceOf(BanyancoveException.class)
					.extracting("kind")
					.isEqualTo(ErrorKind.PLATFORM_UNREACHABLE));
			server.stopAfterHeaders(false);
			assertThat(log.read("profiles", 0, 10, Duration.ZERO).join().records()).isEmpty();
		}
	}

	// The log reads an append and closes the connection without a response. The append
	// may have taken effect, so the client must not send it again by itself.
	@Test
	void appendWithALostResponseIsSentOnce() throws Exception {
		UnresponsiveServer server = new UnresponsiveServer("{\"firstOffset\":1,\"lastOffset\":2}");
		try (PlatformConnection connection = connect(server)) {
			LogClient log = new LogClient(connection);
			append(log).join();
			server.stopResponding();
			CompletableFuture<AppendResult> call = append(log);
			while (server.requests() < 2) {
				Thread.onSpinWait();
			}
			server.close();
			assertThat(call.join()).isInstanceOf(AppendResult.Unanswered.class);
			assertThat(server.requests()).isEqualTo(2);
		}
	}

	private PlatformConnection connect(UnresponsiveServer server) {
		return new PlatformConnection(server.address(), TIMEOUT, this.executor);
	}

	private static CompletableFuture<AppendResult> append(LogClient log) {
		return log.append("profiles", List.of(new NewRecord("a", "b")));
	}

}
