package org.banyancove.distribution;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that callers receive complete responses while engines, services and the platform
 * fail on open connections, with separate processes.
 */
class StreamFaultTests {

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static RunningProcess entry;

	private final Caller caller = cluster.caller();

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startEngine("engine-1", "mahebourg", 100);
		cluster.startEngine("engine-2", "mahebourg", 100);
		cluster.startOrderService("orders-1", "mahebourg");
		cluster.startOrderService("orders-2", "mahebourg");
		cluster.startPlatform("mahebourg");
		entry = cluster.startEntry("entry-1", "mahebourg");
		cluster.startEntry("entry-2", "mahebourg");
		cluster.publishServices();
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	@AfterEach
	void clearFaults() {
		cluster.engines()
			.forEach((engine) -> this.caller.injectFault(engine, "{\"stallStreams\":0,\"cutStreams\":0,"
					+ "\"truncateStreams\":0,\"repeatPieces\":0,\"reorderPieces\":0}"));
		cluster.services().forEach((service) -> this.caller.injectFault(service, "{\"runAndClose\":0}"));
		assertThat(cluster.invariantViolations()).isZero();
	}

	// The stream of the first engine stalls, breaks, ends early as if complete, or
	// repeats or reorders its pieces. The caller reads every token once and in
	// order: the entry requests the rest over a new connection.
	@ParameterizedTest
	@ValueSource(strings = { "stallStreams", "cutStreams", "truncateStreams", "repeatPieces", "reorderPieces" })
	void faultyStreamStillDeliversCompleteText(String fault) {
		cluster.engines()
			.forEach((engine) -> this.caller.injectFault(engine, "{\"" + fault + "\":1,\"afterTokens\":15}"));
		ModelRequest modelRequest = ModelRequest.of("Arrangement notes under " + fault, 60);
		ResponseStream stream = this.caller.stream(entry, modelRequest);
		assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
	}

	// All connections to the engines become permanently unresponsive in the middle
	// of a stream, while new ones work, as when a network device between both ends
	// drops their state. The stream continues over a new connection, and the next
	// request uses no old one.
	@Test
	void streamContinuesWhenEngineConnectionsBecomeUnresponsive() {
		ModelRequest modelRequest = ModelRequest.of("Plan over a silent connection", 150);
		ResponseStream stream = this.caller.stream(entry, modelRequest).awaitTokens(10);
		cluster.engines().forEach((engine) -> this.caller.injectFault(engine, "{\"silenceOpenConnections\":true}"));
		assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
	}

	// All connections to the platform become permanently unresponsive, including
	// the long polls of the log. New bookings continue once the entry has closed
	// the unresponsive connections, and each runs once.
	@Test
	void bookingsContinueWhenPlatformConnectionsBecomeUnresponsive() {
		assertThat(this.caller.book(entry, "before-silence", "{}").execution()).isEqualTo("ran");
		this.caller.injectFault(cluster.platform(), "{\"silenceOpenConnections\":true}");
		Await.until("a booking runs", () -> this.caller.book(entry, "after-silence", "{}").execution().equals("ran"));
		assertThat(cluster.runCount("after-silence")).isOne();
	}

	// All idle connections to the order services become unresponsive. The next
	// booking must not be sent over one of them and count as dispatched: it runs
	// once, or is "unknown" if its outcome cannot be determined, and never runs
	// twice.
	@Test
	void bookingIsNotSentOverUnresponsiveConnection() {
		assertThat(this.caller.book(entry, "quiet-before", "{}").execution()).isEqualTo("ran");
		cluster.services().forEach((service) -> this.caller.injectFault(service, "{\"silenceOpenConnections\":true}"));
		assertThat(this.caller.book(entry, "quiet-after", "{}").execution()).isEqualTo("ran");
		assertThat(cluster.runCount("quiet-after")).isOne();
	}

	// Each service runs a repeatable call and closes the connection without a
	// response. Since the call has run, its caller must not receive "not-run", even
	// when no endpoint remains to be tried.
	@Test
	void repeatableCallThatRanIsNotReportedAsNotRun() {
		cluster.services().forEach((service) -> this.caller.injectFault(service, "{\"runAndClose\":true}"));
		CallResponse response = this.caller.call("GET", entry.address(), "/services/orders/stock", "", "Authorization",
				Caller.CREDENTIAL, "Idempotency-Key", "stock-question");
		assertThat(cluster.runCount("stock-question")).isPositive();
		assertThat(response.execution()).as(response.body()).isNotEqualTo("not-run");
	}

	// An engine is paused by SIGSTOP while it streams: no byte arrives and no
	// connection closes. The stream moves to the other engine, and whatever the
	// first engine sends after it is resumed has no effect.
	@Test
	void engineResumedAfterFailoverHasNoEffect() {
		ModelRequest modelRequest = ModelRequest.of("Plan at an engine that stops", 120);
		ResponseStream stream = this.caller.stream(entry, modelRequest).awaitTokens(10);
		RunningProcess engine = cluster.engineInUse(entry);
		engine.pause();
		int seen = stream.tokens();
		Await.until("the stream moves", () -> stream.tokens() > seen + 30);
		engine.resume();
		assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
		Await.pause(Duration.ofMillis(200));
	}

}
