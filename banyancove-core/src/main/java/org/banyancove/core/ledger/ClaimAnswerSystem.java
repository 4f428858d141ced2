package org.banyancove.core.ledger;

import java.time.Duration;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Answers waiting requests, and verifies that "not run" is only reported if this process
 * knows of no call under the key that may be running or may have run.
 */
final class ClaimAnswerSystem {

	private final PendingKeyTable pendingKeys;

	private final DispatchTable dispatches;

	private final ClaimSettings settings;

	private final RandomGenerator random;

	private final ClaimPort port;

	ClaimAnswerSystem(PendingKeyTable pendingKeys, DispatchTable dispatches, ClaimSettings settings,
			RandomGenerator random, ClaimPort port) {
		this.pendingKeys = pendingKeys;
		this.dispatches = dispatches;
		this.settings = settings;
		this.random = random;
		this.port = port;
	}

	void answer(RequestId request, ClaimAnswer answer) {
		this.pendingKeys.removeRequest(request);
		this.port.answer(request, answer);
	}

	void answerWaiting(KeyWork pendingKey, @Nullable StoredAnswer answer) {
		for (ClaimRequest request : pendingKey.waitingSnapshot()) {
			if (answer != null) {
				answer(request.request(), new ClaimAnswer.Repeated(answer));
			}
			else {
				refuse(request.request(), ErrorKind.OUTCOME_UNKNOWN);
			}
		}
	}

	void refuseMismatchedBodies(KeyWork pendingKey, Predicate<BodyDigest> same) {
		for (ClaimRequest request : pendingKey.waitingSnapshot()) {
			if (!same.test(request.digest())) {
				refuse(request.request(), ErrorKind.KEY_BODY_MISMATCH);
			}
		}
	}

	void refuseWaiting(KeyWork pendingKey, ErrorKind kind) {
		pendingKey.waitingSnapshot().forEach((request) -> refuse(request.request(), kind));
	}

	void refuse(RequestId request, ErrorKind kind) {
		KeyWork pendingKey = this.pendingKeys.find(request);
		if (pendingKey != null && kind.execution() == CallExecution.NOT_RUN && kind != ErrorKind.KEY_BODY_MISMATCH) {
			Invariant.check(!pendingKey.mayHaveRun() && !this.dispatches.contains(request),
					"%s must not be reported as not run: %s", request, kind);
		}
		answer(request, new ClaimAnswer.Refused(kind, jitteredRetryAfter()));
	}

	Duration jitteredRetryAfter() {
		return Duration.ofNanos((long) (this.settings.retryAfter().toNanos() * (0.5 + this.random.nextDouble())));
	}

}
