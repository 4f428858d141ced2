package org.banyancove.distribution;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an entry that is stopped by SIGTERM under load, with separate processes. All
 * requests in flight complete on their existing connections.
 */
class GracefulShutdownTests {

	private static final String MAHEBOURG = "mahebourg";

	private static final String TROU_DEAU = "trou-deau";

	private static final String SHORT_HANDOVER_DELAY = "[callers]\nhand-over-after = \"1s\"\n";

	private static final Duration HANDOVER_WAIT = Duration.ofMillis(1600);

	private static final int REQUESTS_PER_KIND = 4;

	private static final int SHORT_RESPONSE_TOKENS = 120;

	private static final int LONG_RESPONSE_TOKENS = 600;

	private static final int OK = 200;

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static int startedCount;

	private final Caller caller = cluster.caller();

	private RunningProcess entry;

	private RunningProcess receiver;

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startEngine("engine-1", MAHEBOURG, 400);
		cluster.startEngine("engine-2", TROU_DEAU, 400);
		cluster.startOrderService("orders-1", MAHEBOURG);
		cluster.startOrderService("orders-2", TROU_DEAU);
		cluster.startPlatform(MAHEBOURG, TROU_DEAU);
		cluster.startEntry("entry-stays", TROU_DEAU);
		cluster.publishServices();
		slowServices(1000);
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	// Starts the entry to be stopped and, in the data center that holds its
	// requests, one more entry beside the permanent one.
	@BeforeEach
	void startEntries() {
		startedCount++;
		this.entry = cluster.startEntry("entry-" + startedCount, MAHEBOURG, SHORT_HANDOVER_DELAY);
		if (this.receiver == null || !this.receiver.isAlive()) {
			this.receiver = cluster.startEntry("receiver-" + startedCount, TROU_DEAU, SHORT_HANDOVER_DELAY);
		}
		cluster.awaitServing();
	}

	@AfterEach
	void assertNoInvariantViolations() {
		assertThat(cluster.invariantViolations()).isZero();
	}

	// An operator stops an entry while an account has streamed and unary chats,
	// bookings and look-ups in flight there, and the manager of the VM sends the
	// signal again. New requests are rejected at once as not run; all requests in
	// flight complete.
	@Test
	void shutdownUnderLoadWithSecondSignalCompletesAllRequests() {
		Load load = new Load("one stop", SHORT_RESPONSE_TOKENS);
		load.awaitInFlight();
		this.entry.terminate();
		Await.until("the entry stops", () -> this.caller.get(this.entry.address(), "/readyz").status() != OK);
		this.entry.terminate();
		CallResponse rejected = this.caller.book(this.entry, "too late", "{}");
		assertThat(rejected.errorCode()).isEqualTo("stopping");
		assertThat(rejected.execution()).isEqualTo("not-run");
		assertThat(rejected.header("Retry-After")).isNotEmpty();
		load.assertComplete();
		this.entry.awaitExit();
	}

	// The requests outlast the handover delay of the stopping entry, so it hands
	// them over. One of the possible receivers is also stopping and accepts none,
	// the other one accepts them. The callers keep reading on their existing
	// connections.
	@Test
	void handoverAvoidsPeerThatIsAlsoStopping() {
		Load load = new Load("two stops at once", LONG_RESPONSE_TOKENS);
		load.awaitInFlight();
		this.entry.terminate();
		this.receiver.terminate();
		load.assertComplete();
		this.entry.awaitExit();
		this.receiver.awaitExit();
	}

	// The stopping entry has handed its requests over, then an entry that accepted
	// some of them is stopped and hands them over again. The callers of the first
	// entry keep reading.
	@Test
	void receiverThatStopsLaterHandsRequestsOverAgain() {
		Load load = new Load("two stops in a row", LONG_RESPONSE_TOKENS);
		load.awaitInFlight();
		this.entry.terminate();
		Await.pause(HANDOVER_WAIT);
		this.receiver.terminate();
		load.assertComplete();
		this.entry.awaitExit();
		this.receiver.awaitExit();
	}

	private static void slowServices(int millis) {
		cluster.services()
			.forEach((service) -> cluster.caller().injectFault(service, "{\"slowMillis\":" + millis + "}"));
	}

	/**
	 * Streamed and unary chats, bookings and look-ups of one account, all in flight at
	 * once.
	 */
	private final class Load {

		private final Caller caller = GracefulShutdownTests.this.caller;

		private final String name;

		private final List<ModelRequest> modelRequests = new ArrayList<>();

		private final List<ResponseStream> streams = new ArrayList<>();

		private final List<ModelRequest> chats = new ArrayList<>();

		private final List<CompletableFuture<CallResponse>> chatResponses = new ArrayList<>();

		private final List<CompletableFuture<CallResponse>> bookings = new ArrayList<>();

		private final List<CompletableFuture<CallResponse>> lookUps = new ArrayList<>();

		Load(String name, int planTokens) {
			this.name = name;
			RunningProcess to = GracefulShutdownTests.this.entry;
			for (int number = 0; number < REQUESTS_PER_KIND; number++) {
				ModelRequest modelRequest = ModelRequest.of("Plan " + number + " through " + name, planTokens);
				this.modelRequests.add(modelRequest);
				this.streams.add(this.caller.stream(to, modelRequest));
				ModelRequest chat = ModelRequest.of("Stock question " + number + " through " + name,
						SHORT_RESPONSE_TOKENS);
				this.chats.add(chat);
				this.chatResponses.add(this.caller.chatAsync(to, chat));
				this.bookings.add(this.caller.bookAsync(to, key(number), "{\"pellets\":1}"));
				this.lookUps.add(this.caller.lookUpAsync(to));
			}
		}

		// Waits until the streams have started and the chats are at engines or
		// complete. A chat that is still queued at the handover is rejected as not
		// accepted.
		void awaitInFlight() {
			this.streams.forEach((stream) -> stream.awaitTokens(5));
			Await.until("the chats are in flight", () -> inFlightOrEnded() >= 2 * REQUESTS_PER_KIND);
		}

		private long inFlightOrEnded() {
			return cluster.inFlight(GracefulShutdownTests.this.entry, ProcessCluster.FEED_PLANNING)
					+ this.chatResponses.stream().filter(CompletableFuture::isDone).count()
					+ this.streams.stream().filter(ResponseStream::hasEnded).count();
		}

		void assertComplete() {
			for (int number = 0; number < REQUESTS_PER_KIND; number++) {
				assertComplete(this.streams.get(number), this.modelRequests.get(number));
				CallResponse chat = Caller.join(this.chatResponses.get(number));
				assertThat(chat.status()).as(chat.body()).isEqualTo(OK);
				assertThat(chat.text()).isEqualTo(this.chats.get(number).expectedText());
				CallResponse booking = Caller.join(this.bookings.get(number));
				assertThat(booking.status()).as(booking.body()).isEqualTo(OK);
				assertThat(cluster.runCount(key(number))).isOne();
				CallResponse lookUp = Caller.join(this.lookUps.get(number));
				assertThat(lookUp.status()).as(lookUp.body()).isEqualTo(OK);
			}
		}

		private void assertComplete(ResponseStream stream, ModelRequest modelRequest) {
			assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
			assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
		}

		private String key(int number) {
			return this.name + " " + number;
		}

	}

}
