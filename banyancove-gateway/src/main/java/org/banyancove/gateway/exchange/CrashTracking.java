package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.quarantine.SuspectKeys;
import org.jspecify.annotations.Nullable;

/**
 * Reports to the quarantine whether one request crashed endpoints.
 */
final class CrashTracking {

	private final RequestDispatcher dispatcher;

	private final CallerRequest request;

	private final Prompt prompt;

	private final @Nullable ClientAccount account;

	private @Nullable SuspectKeys keys;

	private boolean begun;

	CrashTracking(RequestDispatcher dispatcher, CallerRequest request, Prompt prompt, @Nullable ClientAccount account) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.prompt = prompt;
		this.account = account;
	}

	/**
	 * Returns the rest of the request's quarantine.
	 * @return the time, zero if the request is not in quarantine
	 */
	Duration quarantine() {
		RequestQuarantine quarantine = this.dispatcher.quarantine();
		return quarantine.isEmpty() ? Duration.ZERO : quarantine.remaining(keys(), this.dispatcher.clock().nanos());
	}

	/** Records that the request is sent to an endpoint. */
	void recordSent() {
		RequestQuarantine quarantine = this.dispatcher.quarantine();
		if (!quarantine.isEmpty()) {
			quarantine.recordSent(keys(), this.dispatcher.clock().nanos());
		}
	}

	/**
	 * Records that an event of the response was received.
	 * @param attempt the attempt at the endpoint
	 */
	void recordEvent(Attempt attempt) {
		if (!this.begun && attempt.proven()) {
			this.begun = true;
			this.dispatcher.quarantine().recordBegun(keys(), attempt.begunAt(), this.dispatcher.clock().nanos());
		}
	}

	/**
	 * Records that an endpoint ended the connection while it had the request.
	 * @param attempt the attempt at the endpoint
	 */
	void recordLoss(Attempt attempt) {
		// A draining endpoint ends its connections without a crash.
		if (this.dispatcher.endpoints().accepts(attempt.endpoint())) {
			this.dispatcher.quarantine()
				.recordLoss(keys(), attempt.proven(), attempt.endpoint().id(), attempt.sentAt(),
						this.dispatcher.clock().nanos());
		}
	}

	/**
	 * Records that an endpoint completed the request.
	 * @param attempt the attempt at the endpoint
	 */
	void recordSuccess(Attempt attempt) {
		this.dispatcher.quarantine().recordCompletion(keys(), attempt.begunAt(), this.dispatcher.clock().nanos());
	}

	/**
	 * Describes the request after an endpoint ended its connection.
	 * @param attempt the attempt at the endpoint
	 * @return what the request was and whether its response had begun
	 */
	RequestLog.LostRequest describe(Attempt attempt) {
		return new RequestLog.LostRequest(keys().content(), this.prompt.sharedPartIds(), attempt.begun());
	}

	private SuspectKeys keys() {
		SuspectKeys computed = this.keys;
		if (computed == null) {
			computed = SuspectKeys.of(this.request.fingerprint((this.account != null) ? this.account.name() : null),
					this.prompt);
			this.keys = computed;
		}
		return computed;
	}

}
