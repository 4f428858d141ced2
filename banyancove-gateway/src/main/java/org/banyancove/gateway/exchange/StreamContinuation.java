package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
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

	/**
	 * Maximum time that the rest of a stream waits for the store: longer than a read may
	 * take, and shorter than the pause after which callers abandon a stream.
	 */
	private static final Duration MAXIMUM_CONFIRMATION_WAIT = Duration.ofMillis(1500);

	/** Maximum difference between the clocks of VMs. */
	private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(50);

	private final RequestDispatcher dispatcher;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private final RoutingDecision.Accepted accepted;

	private @Nullable StreamOrigin origin;

	private long beganAt;

	private @Nullable Long endpointsNeededAt;

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
		if (origin != null) {
			this.origin = origin.origin();
			this.beganAt = dispatcher.clock().nanos() - origin.age().toNanos();
		}
	}

	/**
	 * Returns whether the caller has events of the stream.
	 * @return whether only one version may serve the rest
	 */
	boolean isBound() {
		return this.origin != null;
	}

	/**
	 * Binds the stream to an attempt whose first event is about to be forwarded.
	 * @param attempt the attempt
	 */
	void begin(Attempt attempt) {
		if (this.begun) {
			return;
		}
		this.begun = true;
		StreamOrigin resumed = this.origin;
		StreamOrigin bound = new StreamOrigin(this.accepted.service().name(),
				(resumed != null) ? resumed.version() : attempt.version(), attempt.endpoint().id());
		this.origin = bound;
		this.beganAt = this.dispatcher.clock().nanos();
		if (this.accepted.route().resumable() && bound.hasVersion()) {
			record(this.requestHeaders.requestId(), bound);
			record(this.requestHeaders.resumedRequestId(), bound);
		}
	}

	private void record(@Nullable String requestId, StreamOrigin bound) {
		if (requestId != null) {
			AccountName account = (this.accepted.account() != null) ? this.accepted.account().name() : null;
			this.dispatcher.streamOrigins()
				.record(this.request.streamKey(requestId, account), this.accepted.route(), bound);
		}
	}

	/**
	 * Returns whether the endpoints are recent enough to place the rest of the stream. An
	 * endpoint may have started again as another version since they were last confirmed.
	 * @return whether they were confirmed since this method was first called for an
	 * attempt, or the store fails or has not answered in time
	 */
	boolean isReady() {
		long now = this.dispatcher.clock().nanos();
		if (this.origin == null) {
			return true;
		}
		if (this.endpointsNeededAt == null) {
			this.endpointsNeededAt = now;
		}
		EndpointFreshness freshness = this.dispatcher.freshness();
		return freshness.confirmedSince(this.endpointsNeededAt) || freshness.storeFailing()
				|| now - this.endpointsNeededAt > MAXIMUM_CONFIRMATION_WAIT.toNanos();
	}

	/** Requires that the endpoints are confirmed again before the next attempt. */
	void attemptSent() {
		this.endpointsNeededAt = null;
	}

	/**
	 * Returns whether the version that began the stream is certain. If its endpoint has
	 * become another version, the stream may have begun there before this was known.
	 * @return whether the stream began before the endpoint's current process did
	 */
	boolean isCertain() {
		StreamOrigin bound = this.origin;
		EndpointEntry current = (bound != null && bound.endpoint() != null)
				? this.dispatcher.endpoints().entry(bound.endpoint()) : null;
		if (bound == null || current == null || current.version().equals(bound.version())) {
			return true;
		}
		Duration age = Duration.ofNanos(this.dispatcher.clock().nanos() - this.beganAt);
		Instant began = this.dispatcher.wallClock().instant().minus(age);
		return began.plus(CLOCK_TOLERANCE).toEpochMilli() < current.startedAt();
	}

	/**
	 * Returns the endpoints that may serve the rest of the stream.
	 * @param now the current time
	 * @return the endpoints, including draining ones; empty if the version is unknown
	 * @throws IllegalStateException if the stream is not bound
	 */
	List<Endpoint> eligible(long now) {
		if (this.origin == null) {
			throw new IllegalStateException("stream must be bound to a version");
		}
		return this.dispatcher.endpoints().ofVersion(this.accepted.service().name(), this.origin.version(), now);
	}

}
