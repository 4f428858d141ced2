package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.Body;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.ErrorKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimSystemTests {

	private final ClaimSystemHarness harness = new ClaimSystemHarness();

	private final ClaimSystemHarness.Entry first = this.harness.entry();

	private final ClaimSystemHarness.Entry second = this.harness.entry();

	// Guards against running a call twice: a caller sends one booking through two entries
	// concurrently. Both intents reach the log and both appends are acknowledged. Only
	// the first intent may run the call; the other request receives the answer of that
	// run, as both entries read the same order.
	@Test
	void callRunsAtOneOfTwoEntriesAndBothAnswer() {
		RequestId winner = this.first.submit("r1", "body");
		RequestId loser = this.second.submit("r2", "body");
		this.first.send().apply();
		this.second.send().apply();
		assertThat(this.first.dispatched).isEmpty();
		this.second.read();
		this.first.read();
		assertThat(this.first.dispatched).containsExactly(winner);
		assertThat(this.second.dispatched).isEmpty();
		this.first.ended(winner, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		assertThat(this.first.answer(winner)).isEqualTo(new ClaimAnswer.FirstRun(ClaimSystemHarness.BOOKED));
		this.first.send().apply();
		this.second.read();
		assertThat(this.second.answer(loser)).isEqualTo(new ClaimAnswer.Repeated(ClaimSystemHarness.BOOKED));
	}

	// The append takes effect but its answer is lost. The call still runs once, since the
	// entry finds its own record in the stream.
	@Test
	void lostAppendAnswerIsResolvedByReading() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().applyUnanswered().read();
		assertThat(this.first.dispatched).containsExactly(request);
	}

	// Guards against a false "not run": the log applies an append long after the entry
	// has reported "not run" on a timeout. The late intent wins but is released and never
	// dispatched. The caller's next attempt waits for the release and then runs.
	@Test
	void intentAppliedAfterNotRunIsReleased() {
		RequestId late = this.first.submit("r1", "body");
		List<LedgerRecord> delayed = this.first.send().delay();
		this.first.tickAfter(ClaimSystemHarness.SETTINGS.appendTimeout());
		this.first.assertRefused(late, ErrorKind.LOG_UNREACHABLE);
		this.harness.log.append(delayed, Instant.parse("2026-01-01T00:00:02Z"));
		this.first.read();
		this.first.tickAfter(ClaimSystemHarness.SETTINGS.retryAfter());
		RequestId again = this.first.submit("r2", "body");
		this.first.assertWaits(again);
		assertThat(this.first.dispatched).isEmpty();
		this.first.apply().read();
		this.first.send().apply().read();
		assertThat(this.first.dispatched).containsExactly(again);
	}

	// Guards against running the call of a failed claimant again: the claimant fails
	// after its intent, and it is unknown whether it dispatched the call. Repeats at
	// other entries immediately receive "in progress", later "unknown"; no process runs
	// the call.
	@Test
	void callOfFailedClaimantIsNotRunByAnotherProcess() {
		this.first.submit("r1", "body");
		this.first.send().apply();
		this.second.read();
		RequestId waiting = this.second.submit("r2", "body");
		this.second.tickAfter(Duration.ofSeconds(11));
		this.second.assertRefused(waiting, ErrorKind.CALL_IN_PROGRESS);
		this.harness.pass(ClaimSystemHarness.SETTINGS.outcomeWait());
		RequestId afterOutcomeWait = this.second.submit("r3", "body");
		this.second.assertRefused(afterOutcomeWait, ErrorKind.OUTCOME_UNKNOWN);
		assertThat(this.second.dispatched).isEmpty();
	}

	// The claimant is paused before it reads its own intent, until after its caller's
	// deadline. After it resumes it must neither run the call late nor leave the key
	// blocked: it releases the claim and reports "not run".
	@Test
	void claimantPausedBeyondDeadlineReleasesClaim() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply();
		this.harness.pass(Duration.ofMinutes(1));
		this.first.read();
		this.first.send();
		assertThat(this.first.dispatched).isEmpty();
		this.first.assertRefused(request, ErrorKind.LOG_UNREACHABLE);
		this.first.apply();
		RequestId other = this.second.submit("r2", "body");
		this.second.read();
		this.second.send().apply().read();
		assertThat(this.second.dispatched).containsExactly(other);
	}

	// The endpoint runs the call and its answer is lost. The caller receives "unknown",
	// as does every repeat at any entry; the call does not run again.
	@Test
	void lostEndpointAnswerStaysUnknownAtAllEntries() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.ended(request, new DispatchResult.OutcomeUnknown());
		this.first.assertRefused(request, ErrorKind.OUTCOME_UNKNOWN);
		this.first.send().apply();
		this.second.read();
		RequestId repeat = this.second.submit("r2", "body");
		this.second.assertRefused(repeat, ErrorKind.OUTCOME_UNKNOWN);
	}

	// The log becomes unavailable after the intent. The running call completes, its
	// repeats at the claimant are answered from memory, and the outcome is appended to
	// the log later. New calls are refused as "not run" immediately after the first
	// timeout.
	@Test
	void outcomesAreKeptInMemoryDuringLogOutage() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.ended(request, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		this.first.send().delay();
		this.first.tickAfter(ClaimSystemHarness.SETTINGS.appendTimeout());
		RequestId repeat = this.first.submit("r2", "body");
		assertThat(this.first.answer(repeat)).isEqualTo(new ClaimAnswer.Repeated(ClaimSystemHarness.BOOKED));
		assertThat(this.first.system.canStop()).isFalse();
		this.first.tickAfter(ClaimSystemHarness.SETTINGS.retryAfter()).apply();
		assertThat(this.first.system.canStop()).isTrue();
	}

	// A claimant fails with its outcome in memory only; a peer that holds a copy appends
	// it.
	@Test
	void peerAppendsOutcomeOfFailedClaimant() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.ended(request, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		this.second.system.adopt(this.first.system.unconfirmed());
		this.second.send().apply().read();
		RequestId repeat = this.second.submit("r2", "body");
		assertThat(this.second.answer(repeat)).isEqualTo(new ClaimAnswer.Repeated(ClaimSystemHarness.BOOKED));
	}

	// Guards against answering a call with the answer of another one: a key is reused
	// with a different body while its call is running and after it has ended, at the
	// claimant and at another entry. The error has its own kind.
	@Test
	void differentBodyUnderSameKeyIsRefused() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.assertRefused(this.first.submit("r2", "other"), ErrorKind.KEY_BODY_MISMATCH);
		this.second.read();
		this.second.assertRefused(this.second.submit("r3", "other"), ErrorKind.KEY_BODY_MISMATCH);
		this.first.ended(request, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		this.first.assertRefused(this.first.submit("r4", "other"), ErrorKind.KEY_BODY_MISMATCH);
	}

	// A reclaim notice arrives after the intent was appended and before it is read. The
	// claimant hands the call over to another entry by a record, and the call runs there
	// only.
	@Test
	void undispatchedClaimIsHandedOver() {
		this.first.submit("r1", "body");
		this.first.send().apply();
		List<ClaimRequest> moved = this.first.system.handOver(this.second.self);
		assertThat(moved).hasSize(1);
		this.first.read().send().apply().read();
		moved.forEach(this.second.system::submit);
		this.second.read();
		assertThat(this.first.dispatched).isEmpty();
		assertThat(this.second.dispatched).containsExactly(moved.getFirst().request());
		this.first.assertRefused(this.first.submit("r3", "body"), ErrorKind.CALL_IN_PROGRESS);
	}

	// Guards against a key that stays blocked: the receiver of a handover never receives
	// the request, since the sender has failed. It releases the claim after a timeout, so
	// that the caller's repeat can run.
	@Test
	void claimHandedOverWithoutRequestIsReleased() {
		this.first.submit("r1", "body");
		this.first.send().apply();
		this.first.system.handOver(this.second.self);
		this.first.read().send().apply();
		this.second.read().tickAfter(ClaimSystemHarness.SETTINGS.appendTimeout()).send().apply();
		ClaimSystemHarness.Entry third = this.harness.entry();
		RequestId repeat = third.submit("r2", "body");
		third.send().apply().read();
		assertThat(third.dispatched).containsExactly(repeat);
		assertThat(this.second.dispatched).isEmpty();
	}

	// A planned shutdown without a process to hand over to: undispatched calls are
	// reported as "not run" and never run; running calls complete before the process may
	// stop.
	@Test
	void shutdownCompletesRunningCallsAndRefusesUndispatchedOnes() {
		RequestId running = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.system.abandon();
		assertThat(this.first.system.canStop()).isFalse();
		this.first.ended(running, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		this.first.send().apply();
		assertThat(this.first.system.canStop()).isTrue();
		RequestId undispatched = this.second.submit("r2", "body");
		this.second.system.abandon();
		this.second.assertRefused(undispatched, ErrorKind.STOPPING);
	}

	// The body is too large for the log: a repeat at another entry learns that the call
	// ran, its status, and that the body is missing.
	@Test
	void largeAnswerIsStoredWithoutBody() {
		StoredAnswer large = new StoredAnswer(201, "text/plain", Body.copyOf(new byte[17]), true);
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.ended(request, new DispatchResult.Completed(large));
		assertThat(this.first.answer(request)).isEqualTo(new ClaimAnswer.FirstRun(large));
		this.first.send().apply();
		this.second.read();
		assertThat(this.second.answer(this.second.submit("r2", "body")))
			.isEqualTo(new ClaimAnswer.Repeated(new StoredAnswer(201, "text/plain", Body.EMPTY, false)));
	}

	// Guards against running a call again after its answer has expired: a caller repeats
	// its booking long after the first answer. The caller learns at any entry that the
	// call ran and its status, the call does not run again, and a different body under
	// the key is still detected.
	@Test
	void repeatAfterAnswerExpiryReceivesStatusOnly() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.ended(request, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		this.first.send().apply();
		expireAnswers();
		for (ClaimSystemHarness.Entry entry : List.of(this.first.read(), this.second.read())) {
			RequestId repeat = entry.submit("r2", "body");
			assertThat(entry.answer(repeat)).isEqualTo(new ClaimAnswer.Repeated(StoredAnswer.withoutBody(201)));
			entry.assertRefused(entry.submit("r3", "other"), ErrorKind.KEY_BODY_MISMATCH);
		}
		assertThat(this.first.dispatched).containsExactly(request);
		assertThat(this.second.dispatched).isEmpty();
	}

	// As above, but the outcome is unknown and there is no status. A late repeat also
	// receives "unknown", and a stopping entry must not report "not run".
	@Test
	void repeatAfterAnswerExpiryOfUnknownOutcomeReceivesUnknown() {
		RequestId request = this.first.submit("r1", "body");
		this.first.send().apply().read();
		this.first.ended(request, new DispatchResult.OutcomeUnknown());
		this.first.send().apply();
		expireAnswers();
		this.second.read();
		this.second.assertRefused(this.second.submit("r2", "body"), ErrorKind.OUTCOME_UNKNOWN);
		this.second.system.abandon();
		this.second.assertRefused(this.second.submit("r3", "body"), ErrorKind.OUTCOME_UNKNOWN);
	}

	private void expireAnswers() {
		this.harness.pass(ClaimSystemHarness.SETTINGS.answerWindow());
		this.harness.appendNow(new LedgerRecord.Unrecognized(new RecordId("later")));
	}

	// Guards against claiming a key whose record was missed: retention trims records
	// while a process is paused. The process cannot know which calls ran, so it claims no
	// key ("not run" after a timeout) until it reads a checkpoint.
	@Test
	void processWithGapClaimsNoKeyUntilCheckpoint() {
		RequestId request = this.second.submit("r1", "body");
		this.second.send().apply().read();
		this.second.ended(request, new DispatchResult.Completed(ClaimSystemHarness.BOOKED));
		this.second.send().apply().read();
		this.harness.pass(Duration.ofSeconds(2));
		this.harness.log.append(List.of(new LedgerRecord.Unrecognized(new RecordId("later"))),
				Instant.parse("2026-01-01T00:00:02Z"));
		this.harness.trim(Duration.ofSeconds(1));
		this.first.read();
		RequestId early = this.first.submit("r2", "body");
		this.first.tickAfter(ClaimSystemHarness.SETTINGS.appendTimeout());
		this.first.assertRefused(early, ErrorKind.LOG_UNREACHABLE);
		Duration interval = ClaimSystemHarness.SETTINGS.checkpointInterval();
		this.second.read().tickAfter(interval).tickAfter(interval).apply();
		this.first.read();
		assertThat(this.first.answer(this.first.submit("r3", "body")))
			.isEqualTo(new ClaimAnswer.Repeated(ClaimSystemHarness.BOOKED));
	}

}
