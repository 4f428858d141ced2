package org.banyancove.gateway.exchange;

import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamOrigin;
import org.banyancove.gateway.shared.CallerHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Binds the rest of a stream to the software version that wrote its first event.
 * <p>
 * What two versions write does not fit together. Until the first event is forwarded, any
 * version may serve the stream; from then on only its own, also for a caller that resumes
 * it at another gateway.
 */
final class StreamContinuation {

	private final RequestDispatcher dispatcher;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private final RoutingDecision.Accepted accepted;

	private @Nullable String version;

	private boolean begun;

	/**
	 * Creates the continuation of a stream.
	 * @param dispatcher the dispatcher
	 * @param request the request
	 * @param requestHeaders its headers
	 * @param accepted its route and service
	 * @param origin the origin of the stream that the request resumes, or {@code null} if
	 * it begins one
	 */
	StreamContinuation(RequestDispatcher dispatcher, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted, @Nullable KnownOrigin origin) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.requestHeaders = requestHeaders;
		this.accepted = accepted;
		this.version = (origin != null) ? origin.origin().version() : null;
	}

	/**
	 * Returns whether the caller has events of the stream.
	 * @return whether only one version may serve the rest
	 */
	boolean isBound() {
		return this.version != null;
	}

	/**
	 * Binds the stream to the version of an attempt whose first event is about to be
	 * forwarded.
	 * @param attempt the attempt
	 */
	void begin(Attempt attempt) {
		if (this.begun) {
			return;
		}
		this.begun = true;
		String bound = (this.version != null) ? this.version : attempt.version();
		this.version = bound;
		if (this.accepted.route().resumable() && !bound.isEmpty()) {
			StreamOrigin origin = new StreamOrigin(this.accepted.service().name(), bound);
			record(this.requestHeaders.requestId(), origin);
			record(this.requestHeaders.resumedRequestId(), origin);
		}
	}

	private void record(@Nullable String requestId, StreamOrigin origin) {
		if (requestId != null) {
			AccountName account = (this.accepted.account() != null) ? this.accepted.account().name() : null;
			this.dispatcher.streamOrigins()
				.record(this.request.streamKey(requestId, account), this.accepted.route(), origin);
		}
	}

	/**
	 * Returns the endpoints that may serve the rest of the stream.
	 * @param now the current time
	 * @return the endpoints, including draining ones; empty if the version is unknown
	 * @throws IllegalStateException if the stream is not bound
	 */
	List<Endpoint> eligible(long now) {
		if (this.version == null) {
			throw new IllegalStateException("stream must be bound to a version");
		}
		return this.dispatcher.endpoints().ofVersion(this.accepted.service().name(), this.version, now);
	}

}
