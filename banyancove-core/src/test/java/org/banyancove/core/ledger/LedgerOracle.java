package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Test oracle that checks the observations of callers and endpoints.
 */
final class LedgerOracle {

	private final Duration keyWindow;

	private final Map<CallKey, List<Run>> runs = new HashMap<>();

	private final Map<AnsweredRequest, Integer> answers = new HashMap<>();

	private final Map<CallKey, List<NotRun>> notRun = new HashMap<>();

	private final Map<String, Integer> counts = new TreeMap<>();

	LedgerOracle(Duration keyWindow) {
		this.keyWindow = keyWindow;
	}

	StoredAnswer ran(Run run) {
		List<Run> earlier = this.runs.computeIfAbsent(run.key(), (_) -> new ArrayList<>());
		for (Run other : earlier) {
			Duration between = Duration.between(other.intentAt(), run.intentAt()).abs();
			assertThat(between).as("%s ran twice: %s and %s", run.key(), other, run)
				.isGreaterThanOrEqualTo(this.keyWindow);
		}
		this.notRun.getOrDefault(run.key(), List.of()).forEach((reported) -> checkNotRun(run, reported));
		earlier.add(run);
		count("run");
		return run.answer();
	}

	void answered(Incarnation process, ClaimRequest request, Instant submittedAt, Instant now, ClaimAnswer answer) {
		int times = this.answers.merge(new AnsweredRequest(process, request.request()), 1, Integer::sum);
		assertThat(times).as("answers to %s at %s", request, process).isEqualTo(1);
		switch (answer) {
			case ClaimAnswer.FirstRun first -> checkAnswer(request, first.answer(), true);
			case ClaimAnswer.Repeated repeated -> checkAnswer(request, repeated.answer(), false);
			case ClaimAnswer.Refused refused -> checkRefused(process, request, submittedAt, now, refused);
		}
	}

	int runCount(CallKey key) {
		return this.runs.getOrDefault(key, List.of()).size();
	}

	void count(String what) {
		count(what, 1);
	}

	void count(String what, int times) {
		this.counts.merge(what, times, Integer::sum);
	}

	Map<String, Integer> counts() {
		return this.counts;
	}

	private void checkAnswer(ClaimRequest request, StoredAnswer answer, boolean first) {
		count(first ? "answered first run" : answer.complete() ? "answered repeat" : "answered without body");
		List<Run> keyRuns = this.runs.getOrDefault(request.key(), List.of());
		assertThat(keyRuns).as("%s got an answer that nobody gave: %s", request, answer).anySatisfy((run) -> {
			assertThat(asStored(run.answer(), answer)).isEqualTo(answer);
			assertThat(run.digest()).isEqualTo(request.digest());
			assertThat(!first || run.request().equals(request.request())).isTrue();
		});
	}

	// An expired answer consists of the status of the run only.
	private static StoredAnswer asStored(StoredAnswer ran, StoredAnswer reported) {
		boolean expired = !reported.complete() && reported.contentType().isEmpty();
		return expired ? StoredAnswer.withoutBody(ran.status()) : ran.limitedTo(reported.body().length());
	}

	private void checkRefused(Incarnation process, ClaimRequest request, Instant submittedAt, Instant now,
			ClaimAnswer.Refused refused) {
		count("refused " + refused.kind().code());
		assertThat(refused.retryAfter()).isPositive();
		if (refused.kind().execution() != CallExecution.NOT_RUN || refused.kind() == ErrorKind.KEY_BODY_MISMATCH) {
			count((refused.kind() == ErrorKind.KEY_BODY_MISMATCH) ? "other body" : "unknown");
			return;
		}
		count("not run");
		NotRun reported = new NotRun(process, request.request(), submittedAt, now);
		this.notRun.computeIfAbsent(request.key(), (_) -> new ArrayList<>()).add(reported);
		this.runs.getOrDefault(request.key(), List.of()).forEach((run) -> checkNotRun(run, reported));
	}

	// A "not run" is false if an intent sent before it is dispatched after the caller's
	// submission, or if the call ran for the request.
	private void checkNotRun(Run run, NotRun reported) {
		boolean sameRequest = run.request().equals(reported.request()) && run.process().equals(reported.process());
		boolean sameIntent = run.process().equals(reported.process()) && !run.claimedAt().isAfter(reported.answeredAt())
				&& !run.dispatchedAt().isBefore(reported.submittedAt());
		assertThat(sameRequest || sameIntent).as("told not run: %s, but %s", reported, run).isFalse();
	}

	record Run(CallKey key, BodyDigest digest, RequestId request, Incarnation process, Instant intentAt,
			Instant claimedAt, Instant dispatchedAt, StoredAnswer answer) {

	}

	private record NotRun(Incarnation process, RequestId request, Instant submittedAt, Instant answeredAt) {

	}

	private record AnsweredRequest(Incarnation process, RequestId request) {

	}

}
