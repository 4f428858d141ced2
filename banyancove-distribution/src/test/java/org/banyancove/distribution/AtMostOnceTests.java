package org.banyancove.distribution;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.banyancove.entry.EntryProgram;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of calls that are run at most once. The claimant is killed or paused at each
 * step, and the log and the service fail; all run as separate processes.
 */
class AtMostOnceTests {

	private static final String BODY = "{\"tonnes\":12}";

	private static final String RAN = "ran";

	private static final String NOT_RUN = "not-run";

	private static final String UNKNOWN = "unknown";

	private static final Duration LOG_DELAY = Duration.ofSeconds(3);

	/** Shorter than the log delay: the intent has been sent but is not appended yet. */
	private static final Duration INTENT_SEND_TIME = Duration.ofMillis(1500);

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static int startedCount;

	private static int probes;

	private final Caller caller = cluster.caller();

	private RunningProcess claimant;

	private RunningProcess other;

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startOrderService("orders-1", "mahebourg");
		cluster.startOrderService("orders-2", "trou-deau");
		cluster.startPlatform("mahebourg", "trou-deau");
		startEntries();
		cluster.publishServices();
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	@BeforeEach
	void chooseEntries() {
		List<RunningProcess> entries = startEntries();
		this.claimant = entries.getFirst();
		this.other = entries.get(1);
	}

	@AfterEach
	void clearFaults() {
		this.caller.injectFault(cluster.platform(),
				"{\"logOutage\":0,\"logSlowMillis\":0,\"loseAppendAnswers\":0,\"hangAppendAnswers\":0,\"lateAppends\":0}");
		injectServiceFault("{\"runAndHang\":0,\"runAndClose\":0,\"hang\":0,\"close\":0}");
		awaitLogReachable();
		assertThat(cluster.invariantViolations()).isZero();
		assertThat(cluster.maximumRunsPerKey()).isLessThanOrEqualTo(1);
	}

	// A client sends one booking to all entries in two data centers at the same
	// time. All intents are in the log, and the one with the lowest offset runs. No
	// response may report "not-run", since all intents stand for the same booking.
	@Test
	void concurrentCallsWithOneKeyRunOnce() {
		for (int booking = 0; booking < 10; booking++) {
			String key = "everywhere-" + booking;
			List<CompletableFuture<CallResponse>> responses = new ArrayList<>();
			cluster.entries().forEach((entry) -> responses.add(this.caller.bookAsync(entry, key, BODY)));
			for (CompletableFuture<CallResponse> response : responses) {
				assertThat(Caller.join(response).execution()).as(Caller.join(response).body()).isNotEqualTo(NOT_RUN);
			}
			assertThat(cluster.runCount(key)).isOne();
		}
	}

	// The log is down when a booking arrives, and the entry fails before it appends
	// the intent. The caller retries at another entry after the outage. Without an
	// intent in the log, the booking must run exactly once.
	@Test
	void callRunsElsewhereWhenClaimantIsKilledBeforeIntent() {
		this.caller.injectFault(cluster.platform(), "{\"logOutage\":true}");
		this.caller.bookAsync(this.claimant, "before-intent", BODY);
		Await.pause(Duration.ofMillis(300));
		this.claimant.kill();
		this.caller.injectFault(cluster.platform(), "{\"logOutage\":0}");
		assertEventuallyRuns("before-intent", this.other);
		assertThat(cluster.runCount("before-intent")).isOne();
	}

	// The entry is paused while its intent is being appended to a slow log, and is
	// killed after the append. Nothing shows whether it dispatched the call, so
	// repeated calls are answered "unknown" and never run it.
	@Test
	void outcomeIsUnknownWhenClaimantIsKilledAfterIntent() {
		pauseWithIntentInFlight("after-intent");
		this.claimant.kill();
		assertRepeatsAreUnknown("after-intent");
		assertThat(cluster.runCount("after-intent")).isZero();
	}

	// The service runs the booking, its response hangs, and the entry fails.
	// Repeated calls at all other entries are answered "unknown" and never run the
	// booking again.
	@Test
	void outcomeIsUnknownWhenClaimantIsKilledAfterDispatch() {
		injectServiceFault("{\"runAndHang\":true}");
		this.caller.bookAsync(this.claimant, "after-dispatch", BODY);
		Await.until("the service runs the call", () -> cluster.runCount("after-dispatch") == 1);
		this.claimant.kill();
		injectServiceFault("{\"runAndHang\":0}");
		assertRepeatsAreUnknown("after-dispatch");
		assertThat(cluster.runCount("after-dispatch")).isOne();
	}

	// The entry is paused by SIGSTOP while its intent is being appended, and the
	// caller repeats the booking at another entry. A lease would have expired by
	// then. The resumed entry is still the only one that may run the call: its
	// caller receives the response, and repeated calls receive the same one.
	@Test
	void onlyPausedClaimantMayRunCallAfterResume() {
		CompletableFuture<CallResponse> first = pauseWithIntentInFlight("paused");
		assertThat(this.caller.book(this.other, "paused", BODY).execution()).isEqualTo(UNKNOWN);
		assertThat(cluster.runCount("paused")).isZero();
		this.claimant.resume();
		CallResponse response = Caller.join(first);
		if (response.execution().equals(RAN)) {
			assertThat(cluster.runCount("paused")).isOne();
			CallResponse repeated = this.caller.book(this.other, "paused", BODY);
			assertThat(repeated.body()).isEqualTo(response.body());
		}
		else if (response.execution().equals(NOT_RUN)) {
			assertThat(cluster.runCount("paused")).isZero();
		}
		assertThat(cluster.runCount("paused")).isLessThanOrEqualTo(1);
	}

	// The log appends the intent but its response is lost, once because the
	// connection closes and once because it hangs. The entry finds its own record
	// in the stream and runs the booking once.
	@Test
	void callRunsOnceWhenAppendResponseIsLost() {
		for (String fault : List.of("loseAppendAnswers", "hangAppendAnswers")) {
			this.caller.injectFault(cluster.platform(), "{\"" + fault + "\":1}");
			assertEventuallyRuns(fault, this.claimant);
			assertThat(cluster.runCount(fault)).isOne();
		}
	}

	// The log rejects an append but still applies it seconds later. A caller that
	// received "not-run" must be able to rely on it: the delayed intent is never
	// dispatched, and a repeated call at another entry runs the booking once.
	@Test
	void delayedAppendIsNotDispatched() {
		this.caller.injectFault(cluster.platform(), "{\"lateAppends\":8,\"lateAppendMillis\":4000}");
		CallResponse first = this.caller.book(this.claimant, "late", BODY);
		int runsBeforeRecovery = cluster.runCount("late");
		this.caller.injectFault(cluster.platform(), "{\"lateAppends\":0}");
		if (first.execution().equals(NOT_RUN)) {
			assertThat(runsBeforeRecovery).isZero();
			Await.until("the late append takes effect", () -> cluster.logContains("intent", "late"));
			assertThat(cluster.runCount("late")).isZero();
		}
		assertEventuallyRuns("late", this.other);
		assertThat(cluster.runCount("late")).isOne();
	}

	// A new booking cannot be claimed while the log is down. It is answered
	// "not-run" with Retry-After within the deadline, and nothing reaches the
	// service. After the outage the same booking runs once.
	@Test
	void newCallIsNotRunDuringLogOutage() {
		this.caller.injectFault(cluster.platform(), "{\"logOutage\":true}");
		CallResponse rejected = this.caller.book(this.claimant, "outage", BODY);
		assertThat(rejected.errorCode()).as(rejected.body()).isEqualTo("log_unreachable");
		assertThat(rejected.execution()).isEqualTo(NOT_RUN);
		assertThat(rejected.header("Retry-After")).isNotEmpty();
		assertThat(cluster.runCount("outage")).isZero();
		this.caller.injectFault(cluster.platform(), "{\"logOutage\":0}");
		assertEventuallyRuns("outage", this.claimant);
		assertThat(cluster.runCount("outage")).isOne();
	}

	// The service closes the connection without a response, once after it ran the
	// booking and once before. The entry cannot distinguish the two: it reports
	// "unknown", and no entry sends the call again for any repeat.
	@Test
	void callIsNotRetriedWhenServiceClosesWithoutResponse() {
		injectServiceFault("{\"runAndClose\":true}");
		assertThat(this.caller.book(this.claimant, "ran-and-closed", BODY).execution()).isEqualTo(UNKNOWN);
		injectServiceFault("{\"runAndClose\":0,\"close\":true}");
		assertThat(this.caller.book(this.claimant, "closed", BODY).execution()).isEqualTo(UNKNOWN);
		injectServiceFault("{\"close\":0}");
		assertRepeatsAreUnknown("ran-and-closed");
		assertRepeatsAreUnknown("closed");
		assertThat(cluster.runCount("ran-and-closed")).isOne();
		assertThat(cluster.runCount("closed")).isZero();
	}

	// All entries are killed and replaced. A caller that repeats a completed
	// booking receives the stored response, and the service is not called.
	@Test
	void storedResponseIsReplayedAfterAllEntriesAreReplaced() {
		CallResponse first = this.caller.book(this.claimant, "replaced", BODY);
		assertThat(first.execution()).as(first.body()).isEqualTo(RAN);
		Await.until("the outcome is in the log", () -> cluster.logContains("outcome", "replaced"));
		cluster.entries().forEach(RunningProcess::kill);
		for (RunningProcess entry : startEntries()) {
			CallResponse again = this.caller.book(entry, "replaced", BODY);
			assertThat(again.body()).isEqualTo(first.body());
			assertThat(again.isRepeated()).isTrue();
		}
		assertThat(cluster.runCount("replaced")).isOne();
	}

	// A client repeats a booking after its stored response has expired, here at an
	// entry that stores none. The booking must not run again, and the response must
	// not look like a regular response with an empty body: it reports that the call
	// ran, and with which status.
	@Test
	void repeatAfterResponseExpiryReportsThatCallRan() {
		String keepsNone = cluster.settings("keeps-none", "mahebourg") + "[ledger]\nanswer-window = \"0s\"\n";
		RunningProcess entry = cluster.startProgram("keeps-none", EntryProgram.class, "--settings",
				cluster.write("keeps-none.toml", keepsNone).toString());
		CallResponse first = this.caller.book(this.claimant, "not-kept", BODY);
		assertThat(first.execution()).as(first.body()).isEqualTo(RAN);
		Await.until("the repeated call is answered with answer_not_kept",
				() -> this.caller.book(entry, "not-kept", BODY).errorCode().equals("answer_not_kept"));
		CallResponse lateRepeat = this.caller.book(entry, "not-kept", BODY);
		assertThat(lateRepeat.status()).isEqualTo(410);
		assertThat(lateRepeat.execution()).isEqualTo(RAN);
		assertThat(lateRepeat.body()).contains("status " + first.status());
		assertThat(cluster.runCount("not-kept")).isOne();
		entry.kill();
	}

	// A client uses one key for two different bookings. Every entry rejects the
	// second one with a specific error and never runs it, since the stored response
	// would be wrong for it.
	@Test
	void sameKeyWithDifferentBodyIsRejected() {
		assertThat(this.caller.book(this.claimant, "two-bodies", BODY).execution()).isEqualTo(RAN);
		for (RunningProcess entry : cluster.entries()) {
			CallResponse rejected = this.caller.book(entry, "two-bodies", "{\"tonnes\":900}");
			assertThat(rejected.status()).isEqualTo(422);
			assertThat(rejected.errorCode()).isEqualTo("key_body_mismatch");
			assertThat(rejected.execution()).isEqualTo(NOT_RUN);
		}
		assertThat(cluster.runCount("two-bodies")).isOne();
	}

	// Sends a booking and pauses its entry while the intent is being appended to a
	// slow log. Returns when the intent is in the log but the entry has not read
	// it.
	private CompletableFuture<CallResponse> pauseWithIntentInFlight(String key) {
		this.caller.injectFault(cluster.platform(), "{\"logSlowMillis\":" + LOG_DELAY.toMillis() + "}");
		CompletableFuture<CallResponse> response = this.caller.bookAsync(this.claimant, key, BODY);
		Await.pause(INTENT_SEND_TIME);
		this.claimant.pause();
		this.caller.injectFault(cluster.platform(), "{\"logSlowMillis\":0}");
		Await.until("the intent is in the log", () -> cluster.logContains("intent", key));
		return response;
	}

	private void assertRepeatsAreUnknown(String key) {
		int runs = cluster.runCount(key);
		List<CompletableFuture<CallResponse>> responses = new ArrayList<>();
		cluster.entries().forEach((entry) -> responses.add(this.caller.bookAsync(entry, key, BODY)));
		for (CompletableFuture<CallResponse> response : responses) {
			assertThat(Caller.join(response).execution()).as(Caller.join(response).body()).isEqualTo(UNKNOWN);
		}
		assertThat(cluster.runCount(key)).isEqualTo(runs);
	}

	// Repeats a booking with its key, as a caller does, until it has run.
	private void assertEventuallyRuns(String key, RunningProcess entry) {
		Await.until(key + " runs", () -> {
			CallResponse response = this.caller.book(entry, key, BODY);
			if (response.execution().equals(NOT_RUN)) {
				assertThat(cluster.runCount(key)).as("reported as not run: " + response.body()).isZero();
			}
			return response.execution().equals(RAN);
		});
	}

	// An entry whose append has timed out, as that of a paused one does, refuses claims
	// until its Retry-After is over.
	private void awaitLogReachable() {
		for (RunningProcess entry : cluster.entries()) {
			probes++;
			assertEventuallyRuns("probe-" + probes, entry);
		}
	}

	private void injectServiceFault(String faults) {
		cluster.services().forEach((service) -> this.caller.injectFault(service, faults));
	}

	// Starts entries in two data centers until three are running.
	private static List<RunningProcess> startEntries() {
		int missing = 3 - cluster.entries().size();
		for (int index = 0; index < missing; index++) {
			startedCount++;
			cluster.startEntry("entry-" + startedCount, (startedCount % 2 == 0) ? "trou-deau" : "mahebourg");
		}
		if (missing > 0 && startedCount > 3) {
			cluster.awaitServing();
		}
		return List.copyOf(cluster.entries());
	}

}
