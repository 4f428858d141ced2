package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

import org.banyancove.core.ServiceName;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileView;
import org.banyancove.core.profile.PublishedProfile;
import org.banyancove.core.profile.PublishedService;
import org.banyancove.core.profile.RequestTerms;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;
import org.jspecify.annotations.Nullable;

/**
 * Validates arriving requests, rejects those that this entry cannot accept, and ends
 * those whose deadline has passed.
 */
final class IntakeSystem {

	/**
	 * Short, since stopping takes little time and another entry accepts a retry at once.
	 */
	static final Duration OTHER_ENTRY_RETRY_AFTER = Duration.ofSeconds(1);

	private static final String ADOPTED_CONTENT_TYPE = "application/json";

	private static final int ADOPTED_MAXIMUM_TOKENS = 256;

	private final EntrySettings settings;

	private final ProfileView profiles;

	private final RequestTable requests;

	private final AnswerSystem answers;

	private final ModelCallSystem modelCalls;

	private final PlainCallSystem plainCalls;

	private final RequestAdmission admission;

	private final InstantSource clock;

	private final EntryCounters counters;

	private boolean stopping;

	IntakeSystem(EntrySettings settings, ProfileView profiles, RequestTable requests, AnswerSystem answers,
			ModelCallSystem modelCalls, PlainCallSystem plainCalls, RequestAdmission admission, InstantSource clock,
			EntryCounters counters) {
		this.settings = settings;
		this.profiles = profiles;
		this.requests = requests;
		this.answers = answers;
		this.modelCalls = modelCalls;
		this.plainCalls = plainCalls;
		this.admission = admission;
		this.clock = clock;
		this.counters = counters;
	}

	void callArrived(EntryEvent.CallArrived event) {
		this.counters.countArrival();
		AnswerPart.Failure rejection = rejection();
		if (rejection != null) {
			this.answers.reject(event.subscriber(), rejection);
			return;
		}
		RequestEntity request;
		try {
			request = createRequest(event.call());
		}
		catch (BanyancoveException ex) {
			this.answers.reject(event.subscriber(), AnswerSystem.failure(ex));
			return;
		}
		request.subscribers.put(event.subscriber(), new AnswerReader(0));
		this.requests.add(request);
		this.admission.offer(request);
	}

	// Registers a request that another entry accepted. The prefixes of its prompt
	// are estimated from the raw body; a wrong estimate costs at most a cache hit.
	RequestEntity adopt(HeldRequest held) {
		Prompt prompt = (held.kind() == CallKind.MODEL) ? Prompt.of(held.body().text(), ADOPTED_MAXIMUM_TOKENS) : null;
		Call call = new Call(held.request(), held.account(), held.service(), held.method(), held.path(),
				ADOPTED_CONTENT_TYPE, held.body(), held.idempotencyKey(), prompt);
		RequestTerms terms = termsOfAcceptedRequest(held.service());
		RequestEntity request = new RequestEntity(call, terms, this.clock.instant(), held.deadline());
		RequestEntity known = this.requests.find(held.request());
		if (known != null) {
			this.requests.remove(known);
		}
		this.requests.add(request);
		return request;
	}

	void tick() {
		Instant now = this.clock.instant();
		for (RequestEntity request : this.requests.removeExpired(now)) {
			expire(request);
		}
		this.requests.evictEnded(now);
	}

	void stop() {
		this.stopping = true;
	}

	private AnswerPart.@Nullable Failure rejection() {
		if (this.stopping) {
			return new AnswerPart.Failure(ErrorKind.STOPPING, "this entry is stopping", OTHER_ENTRY_RETRY_AFTER);
		}
		if (this.requests.running() >= this.settings.maximumRequests()) {
			return new AnswerPart.Failure(ErrorKind.OVERLOADED, "this entry runs as many requests as it may",
					OTHER_ENTRY_RETRY_AFTER);
		}
		return null;
	}

	private RequestEntity createRequest(Call call) {
		RequestTerms terms = this.profiles.table().terms(call.service());
		validate(call, terms.service(), terms.profile());
		Instant now = this.clock.instant();
		return new RequestEntity(call, terms, now, now.plus(terms.profile().deadline()));
	}

	// A request that was accepted before its service was retired still completes.
	private RequestTerms termsOfAcceptedRequest(ServiceName name) {
		PublishedService published = this.profiles.table().service(name);
		if (published == null || published.service().state() == ServiceState.ACTIVE) {
			return this.profiles.table().terms(name);
		}
		ServiceDefinition service = published.service();
		PublishedProfile profile = Objects.requireNonNull(this.profiles.table().profile(service.profile()));
		return new RequestTerms(published.revision(), service, profile.revision(), profile.profile());
	}

	private static void validate(Call call, ServiceDefinition service, Profile profile) {
		boolean model = call.prompt() != null;
		if (model != (service.kind() == ServiceKind.MODEL)) {
			throw new BanyancoveException(ErrorKind.SERVICE_UNKNOWN,
					"service '" + service.name() + "' is not reached by this path");
		}
		if (call.body().length() > profile.maximumBodyBytes()) {
			throw new BanyancoveException(ErrorKind.BODY_TOO_LARGE, "profile '" + profile.name() + "' allows "
					+ profile.maximumBodyBytes() + " bytes, the body has " + call.body().length());
		}
		if (profile.keyRequired() && call.idempotencyKey() == null && !service.mayRepeat(call.method())) {
			throw new BanyancoveException(ErrorKind.KEY_REQUIRED,
					"profile '" + profile.name() + "' asks for the header Idempotency-Key");
		}
	}

	// Ends a request whose deadline has passed. An at-most-once call is ended by
	// its claim, since only the claim determines whether the call may have run.
	private void expire(RequestEntity request) {
		if (request.phase == RequestPhase.WAITING) {
			this.admission.cancel(request);
			this.answers.fail(request, ErrorKind.OVERLOADED, "the deadline passed before there was room",
					request.profile.firstTokenTarget());
			return;
		}
		if (request.kind() == CallKind.MODEL) {
			this.modelCalls.expire(request);
		}
		else if (request.mayRepeat()) {
			this.plainCalls.expire(request);
		}
	}

}
