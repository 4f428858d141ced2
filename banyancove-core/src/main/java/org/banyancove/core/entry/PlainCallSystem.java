package org.banyancove.core.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.ledger.BodyDigest;
import org.banyancove.core.ledger.CallKey;
import org.banyancove.core.ledger.ClaimAnswer;
import org.banyancove.core.ledger.ClaimRequest;
import org.banyancove.core.ledger.ClaimSystem;
import org.banyancove.core.ledger.DispatchResult;
import org.banyancove.core.ledger.StoredAnswer;
import org.banyancove.core.retry.RetryDecision;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.PlacementDecision;
import org.jspecify.annotations.Nullable;

/**
 * Runs calls to plain services: repeatable calls with retries under the retry budget, all
 * others at most once, by a claim in the log.
 */
final class PlainCallSystem {

	/** A call that was handed over is claimed and run within about this time. */
	private static final Duration HANDED_OVER_RETRY_AFTER = Duration.ofSeconds(1);

	private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

	/**
	 * Ends the copy at the holder without an answer: the ledger stores the outcomes of
	 * plain calls.
	 */
	private static final EndOfAnswer ANSWERED_BY_LEDGER = new EndOfAnswer.Complete("answered");

	private final RequestTable requests;

	private final AttemptSystem attempts;

	private final AnswerSystem answers;

	private final ClaimSystem claims;

	private final HoldSystem holds;

	/**
	 * The at-most-once calls that an endpoint is running. A caller may be answered before
	 * its call ends; the outcome must still reach the ledger, since every repeat under
	 * the key would otherwise wait for it indefinitely.
	 */
	private final Map<RequestId, RequestEntity> dispatched = new HashMap<>();

	PlainCallSystem(RequestTable requests, AttemptSystem attempts, AnswerSystem answers, ClaimSystem claims,
			HoldSystem holds) {
		this.requests = requests;
		this.attempts = attempts;
		this.answers = answers;
		this.claims = claims;
		this.holds = holds;
	}

	void begin(RequestEntity request) {
		if (!request.mayRepeat()) {
			this.holds.offer(request);
			return;
		}
		switch (this.attempts.place(request)) {
			case AttemptPlacement.Ready ready -> start(request, ready.placed());
			case AttemptPlacement.Refused refused ->
				this.answers.fail(request, refused.kind(), "no endpoint can answer in time", refused.retryAfter());
			case AttemptPlacement.Deferred deferred -> this.answers.fail(request, ErrorKind.OVERLOADED,
					"the same call is being tried at another endpoint", deferred.retryAfter());
			case AttemptPlacement.Blocked _ -> this.answers.failBlocked(request);
		}
	}

	// Claims the key of a call that a second entry holds too, or that another entry
	// handed over before dispatching it.
	void claim(RequestEntity request) {
		request.phase = RequestPhase.CLAIMING;
		this.claims.submit(claimRequest(request));
	}

	// Fails a call that another entry owns now, so that its caller repeats it. A
	// call that is already running at an endpoint is still answered here, since
	// this entry receives its outcome first.
	void released(RequestEntity request) {
		if (request.endpoint == null && !request.isEnded()) {
			this.answers.fail(request, ErrorKind.CALL_IN_PROGRESS,
					"the call was handed over to another entry; ask again under its key", HANDED_OVER_RETRY_AFTER);
		}
	}

	// Sends a call whose intent is the first one for its key in the log. Without an
	// endpoint the call is never sent, and the claim is released.
	void dispatch(RequestId id) {
		RequestEntity request = this.requests.find(id);
		if (request == null || request.isEnded()) {
			this.claims.dispatchEnded(id, new DispatchResult.NeverSent());
			return;
		}
		Invariant.check(request.attempt == 0, "call %s was already dispatched", id);
		dispatch(request);
	}

	@Nullable RequestEntity dispatched(RequestId id) {
		return this.dispatched.get(id);
	}

	// Fails a repeatable call whose deadline has passed.
	void expire(RequestEntity request) {
		this.attempts.cancel(request);
		this.attempts.endAttempt(request, AttemptOutcome.TIMED_OUT);
		this.answers.fail(request, ErrorKind.ENDPOINT_FAILED, "no endpoint answered before the deadline",
				this.attempts.retryAfterNoEndpoint(request.service.name()));
	}

	void attemptEnded(RequestEntity request, EntryEvent.AttemptEnded event) {
		if (request.mayRepeat()) {
			repeatableEnded(request, event.result());
		}
		else {
			atMostOnceEnded(request, event.result());
		}
	}

	void claimAnswered(RequestId id, ClaimAnswer answer) {
		RequestEntity request = this.requests.find(id);
		if (request == null || request.isEnded()) {
			return;
		}
		this.holds.ended(id, 0, ANSWERED_BY_LEDGER);
		switch (answer) {
			case ClaimAnswer.FirstRun first -> this.answers.end(request, completeAnswer(first.answer(), false));
			case ClaimAnswer.Repeated repeated -> repeatAnswer(request, repeated.answer());
			case ClaimAnswer.Refused refused -> claimRejected(request, refused);
		}
	}

	// An empty body with the status of the first run would look like its complete
	// answer.
	private void repeatAnswer(RequestEntity request, StoredAnswer answer) {
		if (answer.complete()) {
			this.answers.end(request, completeAnswer(answer, true));
			return;
		}
		this.answers.fail(request, ErrorKind.ANSWER_NOT_KEPT, "the call ran and was answered with status "
				+ answer.status() + "; the body of that answer is no longer kept", null);
	}

	private void claimRejected(RequestEntity request, ClaimAnswer.Refused refused) {
		if (refused.kind().execution() == CallExecution.NOT_RUN) {
			Invariant.check(request.endpoint == null,
					"call %s is answered as not run while an attempt runs at an endpoint", request.id());
		}
		this.answers.fail(request, refused.kind(), refused.kind().meaning(), refused.retryAfter());
	}

	private void dispatch(RequestEntity request) {
		if (this.attempts.place(request) instanceof AttemptPlacement.Ready ready) {
			this.dispatched.put(request.id(), request);
			start(request, ready.placed());
			return;
		}
		this.claims.dispatchEnded(request.id(), new DispatchResult.NeverSent());
	}

	// Ends an attempt of an at-most-once call. A call whose body was provably never
	// sent may go to another endpoint under the same claim; any other result is
	// final.
	private void atMostOnceEnded(RequestEntity request, AttemptResult result) {
		this.dispatched.remove(request.id());
		switch (result) {
			case AttemptResult.Answered answered -> {
				this.attempts.endAttempt(request, AttemptOutcome.COMPLETED);
				StoredAnswer stored = new StoredAnswer(answered.status(), answered.contentType(), answered.body(),
						true);
				this.claims.dispatchEnded(request.id(), new DispatchResult.Completed(stored));
			}
			case AttemptResult.NeverSent neverSent -> requestNeverSent(request);
			case AttemptResult.Refused refused -> outcomeUnknown(request);
			case AttemptResult.Broken broken -> outcomeUnknown(request);
			case AttemptResult.StreamEnded ended -> outcomeUnknown(request);
		}
	}

	private void requestNeverSent(RequestEntity request) {
		this.attempts.markEndpointGone(request);
		request.outcome = AttemptOutcome.LOST;
		this.attempts.endAttempt(request, request.outcome);
		if (request.isEnded()) {
			this.claims.dispatchEnded(request.id(), new DispatchResult.NeverSent());
			return;
		}
		switch (this.attempts.retry(request, true)) {
			case RetryDecision.Retry _ -> dispatch(request);
			case RetryDecision.GiveUp _ -> this.claims.dispatchEnded(request.id(), new DispatchResult.NeverSent());
		}
	}

	private void outcomeUnknown(RequestEntity request) {
		this.attempts.endAttempt(request, AttemptOutcome.LOST);
		this.claims.dispatchEnded(request.id(), new DispatchResult.OutcomeUnknown());
	}

	private void repeatableEnded(RequestEntity request, AttemptResult result) {
		if (result instanceof AttemptResult.Answered answered && answered.status() < MINIMUM_SERVER_ERROR_STATUS) {
			this.attempts.endAttempt(request, AttemptOutcome.COMPLETED);
			this.answers.end(request,
					new AnswerPart.PlainResponse(answered.status(), answered.contentType(), answered.body(), false));
			return;
		}
		request.outcome = AttemptOutcome.FAILED;
		if (result instanceof AttemptResult.NeverSent) {
			this.attempts.markEndpointGone(request);
			request.outcome = AttemptOutcome.LOST;
		}
		this.attempts.endAttempt(request, request.outcome);
		switch (this.attempts.retry(request, false)) {
			case RetryDecision.Retry _ -> retry(request, result);
			case RetryDecision.GiveUp giveUp -> fail(request, result, giveUp.kind(), giveUp.retryAfter());
		}
	}

	private void retry(RequestEntity request, AttemptResult result) {
		switch (this.attempts.place(request)) {
			case AttemptPlacement.Ready ready -> start(request, ready.placed());
			// An attempt was sent, so a rejection of the next one does not prove
			// that the call did not run.
			case AttemptPlacement.Refused refused ->
				fail(request, result, ErrorKind.ENDPOINT_FAILED, refused.retryAfter());
			case AttemptPlacement.Deferred deferred ->
				fail(request, result, ErrorKind.ENDPOINT_FAILED, deferred.retryAfter());
			case AttemptPlacement.Blocked _ -> this.answers.failBlocked(request);
		}
	}

	// Returns the service's own error response if there is one.
	private void fail(RequestEntity request, AttemptResult result, ErrorKind kind, Duration retryAfter) {
		if (result instanceof AttemptResult.Answered answered) {
			this.answers.end(request,
					new AnswerPart.PlainResponse(answered.status(), answered.contentType(), answered.body(), false));
			return;
		}
		this.answers.fail(request, kind, kind.meaning(), retryAfter);
	}

	private void start(RequestEntity request, PlacementDecision.Placed placed) {
		Call call = request.call;
		this.attempts.start(request, placed.endpoint(), request.attempt + 1, new AttemptRequest.PlainCall(call.method(),
				call.path(), call.contentType(), call.body(), call.idempotencyKey(), !request.mayRepeat()));
	}

	private ClaimRequest claimRequest(RequestEntity request) {
		Call call = request.call;
		String key = call.idempotencyKey();
		CallKey callKey = new CallKey(call.account(), call.service(), (key != null) ? key : call.id().value());
		return new ClaimRequest(request.id(), callKey, new BodyDigest(call.fingerprint()), request.deadline());
	}

	private static AnswerPart completeAnswer(StoredAnswer answer, boolean repeated) {
		return new AnswerPart.PlainResponse(answer.status(), answer.contentType(), answer.body(), repeated);
	}

}
