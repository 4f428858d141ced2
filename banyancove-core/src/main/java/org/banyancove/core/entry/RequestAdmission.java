package org.banyancove.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.banyancove.core.admission.AdmissionDecision;
import org.banyancove.core.admission.AdmissionRequest;
import org.banyancove.core.admission.AdmissionSystem;
import org.banyancove.core.peer.CallKind;

/**
 * Admits requests within the fair share of their client account, and releases their
 * capacity when they end.
 */
final class RequestAdmission {

	/**
	 * The cost of a plain call in tokens: it occupies an endpoint for about as long as a
	 * model request of this many tokens.
	 */
	private static final double PLAIN_CALL_COST = 1;

	private static final double EQUAL_WEIGHT = 1;

	private final AdmissionSystem admission;

	private final RequestTable requests;

	private final AnswerSystem answers;

	private final Consumer<RequestEntity> begin;

	RequestAdmission(AdmissionSystem admission, RequestTable requests, AnswerSystem answers,
			Consumer<RequestEntity> begin) {
		this.admission = admission;
		this.requests = requests;
		this.answers = answers;
		this.begin = begin;
	}

	// An at-most-once call waits for the log far longer than its endpoint needs to
	// run it. If it occupied capacity during that wait, idle endpoints would appear
	// full and their limits would never rise: 384 of 400 calls were rejected for
	// this reason. Such a call is therefore admitted at once; the ledger limits the
	// number of claims.
	void offer(RequestEntity request) {
		if (request.kind() == CallKind.AT_MOST_ONCE) {
			this.begin.accept(request);
			return;
		}
		apply(this.admission.offer(admissionRequest(request)));
	}

	// Removes a waiting request from the queue.
	void cancel(RequestEntity request) {
		this.admission.cancelled(request.service.name(), request.id());
	}

	void tick() {
		this.admission.tick().forEach(this::apply);
		releaseEnded();
	}

	// Releases the capacity of requests that ended. It runs after each event and
	// not at each end, since an admitted request can itself end at once.
	void releaseEnded() {
		List<RequestEntity> ended = this.requests.drainEnded();
		while (!ended.isEmpty()) {
			List<AdmissionDecision> decisions = new ArrayList<>();
			for (RequestEntity request : ended) {
				decisions.addAll(this.admission.released(request.service.name(), request.id()));
			}
			decisions.forEach(this::apply);
			ended = this.requests.drainEnded();
		}
	}

	private void apply(AdmissionDecision decision) {
		RequestEntity request = this.requests.find(decision.request());
		if (request == null || request.phase != RequestPhase.WAITING) {
			return;
		}
		switch (decision) {
			case AdmissionDecision.Admitted _ -> this.begin.accept(request);
			case AdmissionDecision.Waiting _ -> {
			}
			case AdmissionDecision.Refused refused ->
				this.answers.fail(request, refused.kind(), refused.kind().meaning(), refused.retryAfter());
		}
	}

	private static AdmissionRequest admissionRequest(RequestEntity request) {
		Prompt prompt = request.call.prompt();
		double cost = (prompt != null) ? prompt.tokens() + prompt.maximumTokens() : PLAIN_CALL_COST;
		return new AdmissionRequest(request.id(), request.call.account(), request.service.name(), request.profile,
				request.arrivedAt, cost, EQUAL_WEIGHT);
	}

}
