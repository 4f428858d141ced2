package org.banyancove.entry.endpoint;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.banyancove.core.EndpointId;
import org.banyancove.entry.endpoint.ExtraResponseServer.Script;
import org.banyancove.entry.endpoint.ExtraResponseServer.Timing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineLoadPollerTests {

	/** The load report and the cache events. */
	private static final int READS = 2;

	/** The bytes in the buffers of a connection, which the client has not read. */
	private static final long BUFFER_BYTES = 16 << 20;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	// Guards against a load report or cache events that fill the memory of the entry.
	@Test
	void readEndsAtABoundOfTheResponse() throws Exception {
		try (EndlessServer server = new EndlessServer("HTTP/1.1 200 OK\r\n\r\n", "x")) {
			poll(server.address(), Duration.ofSeconds(30), Duration.ofHours(1));
			TimeUnit.SECONDS.sleep(3);
			assertThat(server.accepted()).isEqualTo(READS);
			assertThat(server.sent()).isLessThan(READS * (EngineLoadPoller.MAXIMUM_RESPONSE_BYTES + BUFFER_BYTES));
		}
	}

	// Guards against connections that accumulate at an engine whose responses don't end:
	// the JDK's own timeout covers their heads only.
	@Test
	void engineHasOneReadOfAKindInProgress() throws Exception {
		try (ExtraResponseServer server = new ExtraResponseServer()) {
			server.play(new Script("", "", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", Timing.IDLE));
			poll(server.address(), Duration.ofSeconds(30), Duration.ofMillis(10));
			TimeUnit.SECONDS.sleep(1);
			assertThat(server.requests()).hasSize(READS);
		}
	}

	// Guards against an engine that is never polled again after a response without an
	// end.
	@Test
	void readEndsAtItsTimeout() throws Exception {
		try (ExtraResponseServer server = new ExtraResponseServer()) {
			server.play(new Script("", "", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", Timing.IDLE));
			poll(server.address(), Duration.ofMillis(100), Duration.ofMillis(10));
			TimeUnit.SECONDS.sleep(2);
			assertThat(server.requests()).hasSizeBetween(2 * READS, 20 * READS);
		}
	}

	private void poll(String address, Duration timeout, Duration interval) {
		EngineLoadPoller poller = new EngineLoadPoller(timeout, (event) -> {
		});
		poller.setEngines(Map.of(new EndpointId("endpoint"), address));
		poller.start(interval, this.timer);
	}

}
