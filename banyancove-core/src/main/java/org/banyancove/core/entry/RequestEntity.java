package org.banyancove.core.entry;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.RequestTerms;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.PlacementDecision;
import org.banyancove.core.suspect.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * A request that this entry owns.
 * <p>
 * It keeps the profile and service under which it was accepted, also when a later
 * revision is published.
 */
final class RequestEntity {

	final Call call;

	final Profile profile;

	final ServiceDefinition service;

	final long profileRevision;

	final Instant arrivedAt;

	final Instant deadline;

	final Fingerprint fingerprint;

	/** The read position of each waiting caller. */
	final Map<SubscriberId, AnswerReader> subscribers = new HashMap<>();

	/**
	 * The endpoints excluded from further attempts: they failed the request, or were
	 * leaving when it was placed.
	 */
	final Set<EndpointId> excluded = new HashSet<>();

	RequestPhase phase = RequestPhase.WAITING;

	/** The answer of a model request that has a stream. */
	@Nullable AnswerBuffer answer;

	/** The last placement decision, used if the attempt starts at its endpoint. */
	PlacementDecision.@Nullable Placed placed;

	/** The number of the last connection to an endpoint; the first one is 1. */
	int attempt;

	/**
	 * How many times the request was sent to be run; a reattach to its stream is not
	 * counted.
	 */
	int sendCount;

	@Nullable EndpointId endpoint;

	/** The request of the current attempt. */
	@Nullable AttemptRequest attemptRequest;

	/** How the last attempt failed, {@code CANCELLED} if it did not fail. */
	AttemptOutcome outcome = AttemptOutcome.CANCELLED;

	/**
	 * The error that replaces the one of the stream, if this entry knows the cause more
	 * precisely.
	 */
	@Nullable ErrorKind failure;

	@Nullable AnswerPart finalPart;

	@Nullable Instant firstTokenAt;

	@Nullable Instant endedAt;

	RequestEntity(Call call, RequestTerms terms, Instant arrivedAt, Instant deadline) {
		this.call = call;
		this.profile = terms.profile();
		this.service = terms.service();
		this.profileRevision = terms.profileRevision();
		this.arrivedAt = arrivedAt;
		this.deadline = deadline;
		this.fingerprint = Fingerprint.of(call.account(), call.body().toByteArray());
	}

	RequestId id() {
		return this.call.id();
	}

	boolean isEnded() {
		return this.phase == RequestPhase.ENDED;
	}

	Instant deadline() {
		return this.deadline;
	}

	boolean mayRepeat() {
		return this.service.mayRepeat(this.call.method());
	}

	CallKind kind() {
		if (this.call.prompt() != null) {
			return CallKind.MODEL;
		}
		return mayRepeat() ? CallKind.REPEATABLE : CallKind.AT_MOST_ONCE;
	}

	HeldRequest held() {
		return new HeldRequest(id(), this.call.account(), this.call.service(), kind(), this.profileRevision,
				this.call.method(), this.call.path(), this.call.body(), this.call.idempotencyKey(), this.deadline);
	}

}
