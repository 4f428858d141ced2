package org.banyancove.distribution;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what a partitioned data center serves and which errors it returns, with
 * separate processes. Its connection to the platform becomes unresponsive; the processes
 * of the other data center are paused by SIGSTOP, which looks like a network partition
 * from here.
 */
class NetworkPartitionTests {

	private static final String LOCAL_DATA_CENTER = "mahebourg";

	private static final String REMOTE_DATA_CENTER = "trou-deau";

	private static final String BODY = "{\"pellets\":1}";

	private static final int TOKENS = 40;

	private static final int OK = 200;

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static RunningProcess entry;

	private static List<RunningProcess> remoteProcesses;

	private final Caller caller = cluster.caller();

	private final List<String> rejectedKeys = new ArrayList<>();

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startEngine("engine-here", LOCAL_DATA_CENTER, 200);
		RunningProcess engine = cluster.startEngine("engine-elsewhere", REMOTE_DATA_CENTER, 200);
		cluster.startOrderService("orders-here", LOCAL_DATA_CENTER);
		RunningProcess orders = cluster.startOrderService("orders-elsewhere", REMOTE_DATA_CENTER);
		cluster.startPlatform(LOCAL_DATA_CENTER, REMOTE_DATA_CENTER);
		entry = cluster.startEntry("entry-here", LOCAL_DATA_CENTER);
		cluster.startEntry("entry-beside", LOCAL_DATA_CENTER);
		remoteProcesses = List.of(cluster.startEntry("entry-elsewhere", REMOTE_DATA_CENTER), engine, orders);
		cluster.publishServices();
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	@AfterEach
	void restoreConnections(TestInfo test) {
		remoteProcesses.forEach(RunningProcess::resume);
		makeListenersUnresponsive("");
		awaitBookingIsRun("healed after " + test.getDisplayName());
		this.rejectedKeys
			.forEach((key) -> assertThat(cluster.runCount(key)).as("a call reported as not run has not run").isZero());
		assertThat(cluster.invariantViolations()).isZero();
	}

	// Without the log of the platform an entry cannot know whether a booking runs
	// elsewhere. It rejects new bookings as not run, with Retry-After. All other
	// requests are served, including the response to an earlier booking.
	@Test
	void onlyNewBookingsAreRejectedWithoutPlatform() {
		CallResponse before = this.caller.book(entry, "before the cut", BODY);
		assertThat(before.status()).as(before.body()).isEqualTo(OK);
		makeListenersUnresponsive(LOCAL_DATA_CENTER);
		assertModelRequestIsServed("cut from the platform");
		assertLookUpIsServed();
		assertBookingIsRejected("cut from the platform");
	}

	// The other data center is unreachable: model requests that were placed there
	// move, and bookings run here since the log is reachable. A request that only
	// the other data center owns cannot be resumed here until the partition ends.
	@Test
	void onlyRemoteRequestsAreUnavailableWithoutRemoteDataCenter() {
		String remoteRequestId = this.caller
			.stream(remoteProcesses.getFirst(), ModelRequest.of("Owned elsewhere", TOKENS))
			.awaitTokens(TOKENS)
			.requestId();
		remoteProcesses.forEach(RunningProcess::pause);
		assertModelRequestIsServed("cut from the others");
		assertLookUpIsServed();
		awaitBookingIsRun("cut from the others");
		ResponseStream localStream = this.caller.reconnect(entry, remoteRequestId);
		assertThat(localStream.awaitEnd()).as(localStream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		CallResponse unknownLocally = this.caller.call("GET", entry.address(), "/v1/requests/" + remoteRequestId + "9",
				"", "Authorization", Caller.CREDENTIAL);
		assertThat(unknownLocally.errorCode()).isIn("request_unknown", "answer_incomplete");
	}

	@Test
	void modelRequestsAndLookUpsAreServedWithoutPlatformAndRemoteDataCenter() {
		remoteProcesses.forEach(RunningProcess::pause);
		makeListenersUnresponsive(LOCAL_DATA_CENTER);
		assertModelRequestIsServed("cut from both");
		assertLookUpIsServed();
		assertBookingIsRejected("cut from both");
	}

	private void assertModelRequestIsServed(String prompt) {
		ModelRequest modelRequest = ModelRequest.of(prompt, TOKENS);
		ResponseStream stream = this.caller.stream(entry, modelRequest);
		assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
		ResponseStream again = this.caller.reconnect(entry, stream.requestId());
		assertThat(again.awaitEnd()).as(again.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(again.text()).isEqualTo(modelRequest.expectedText());
	}

	private void assertLookUpIsServed() {
		Await.until("a look-up is served", () -> Caller.join(this.caller.lookUpAsync(entry)).status() == OK);
	}

	private void assertBookingIsRejected(String key) {
		CallResponse response = this.caller.book(entry, key, BODY);
		assertThat(response.errorCode()).as(response.body()).isEqualTo("log_unreachable");
		assertThat(response.execution()).isEqualTo("not-run");
		assertThat(response.header("Retry-After")).isNotEmpty();
		this.rejectedKeys.add(key);
	}

	// A call may be sent to a partitioned service before the partition is detected.
	// Its outcome is then unknown, and a later call runs.
	private void awaitBookingIsRun(String name) {
		AtomicInteger number = new AtomicInteger();
		Await.until("a booking runs",
				() -> this.caller.book(entry, name + " " + number.incrementAndGet(), BODY).status() == OK);
	}

	private void makeListenersUnresponsive(String dataCenters) {
		this.caller.injectFault(cluster.platform(), "{\"silentListeners\":\"" + dataCenters + "\"}");
	}

}
