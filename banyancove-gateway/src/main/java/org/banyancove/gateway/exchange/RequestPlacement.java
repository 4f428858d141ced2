package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.waiting.BacklogDecision;
import org.banyancove.gateway.waiting.RejectionReason;
import org.banyancove.gateway.waiting.WaitingRequest;
import org.jspecify.annotations.Nullable;

/**
 * Chooses an endpoint for each attempt of a request, lets the request wait for one, or
 * rejects it.
 * <p>
 * Requests wait in a queue only where the endpoints of the service announce a slowdown,
 * and only before their first attempt.
 */
final class RequestPlacement {

	/** The interval at which placement is retried while no endpoint is available. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(40);

	/** The interval at which placement is retried while the endpoints are outdated. */
	private static final Duration REFRESH_POLL_INTERVAL = Duration.ofMillis(10);

	/** The retry delay reported to the caller of a request that was not run. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(400);

	private final RequestDispatcher dispatcher;

	private final Exchange exchange;

	private final Route route;

	private final ServiceName service;

	private final CrashTracking crashTracking;

	private final StreamContinuation continuation;

	private final RequestRetries retries;

	private final EligibleEndpoints endpoints;

	private final BacklogAdmission admission;

	private boolean ended;

	private boolean started;

	private @Nullable WaitingRequest waiting;

	private @Nullable ScheduledFuture<?> timer;

	/**
	 * Creates the placement of a request.
	 * @param dispatcher holds what the requests share
	 * @param exchange sends the request and reports its rejection
	 * @param request the request
	 * @param accepted its route, service and account
	 * @param crashTracking whether it is in quarantine
	 * @param continuation the version that it is bound to
	 * @param retries its attempts
	 */
	RequestPlacement(RequestDispatcher dispatcher, Exchange exchange, CallerRequest request,
			RoutingDecision.Accepted accepted, CrashTracking crashTracking, StreamContinuation continuation,
			RequestRetries retries) {
		this.dispatcher = dispatcher;
		this.exchange = exchange;
		this.route = accepted.route();
		this.service = accepted.service().name();
		this.crashTracking = crashTracking;
		this.continuation = continuation;
		this.retries = retries;
		this.endpoints = new EligibleEndpoints(dispatcher, accepted, exchange.prompt(), continuation, retries);
		this.admission = new BacklogAdmission(dispatcher, exchange, request, accepted);
	}

	ServiceName service() {
		return this.service;
	}

	/** Sends the request to an endpoint, lets it wait or rejects it. */
	void place() {
		if (this.ended || endedBeforePlacement()) {
			return;
		}
		if (!this.dispatcher.endpointsCurrent() || !this.continuation.isReady()) {
			this.timer = schedule(REFRESH_POLL_INTERVAL);
			return;
		}
		if (!this.continuation.isCertain()) {
			this.exchange.endWithError(ErrorKind.STREAM_ORIGIN_UNKNOWN, StreamResumption.RETRY_AFTER_UNKNOWN_ORIGIN);
			return;
		}
		Placement placement = this.endpoints.choose();
		if (placement == null) {
			placementFailed();
		}
		else if (this.retries.attempts() > 0) {
			send(placement);
		}
		else {
			placeFirstAttempt(placement);
		}
	}

	private boolean endedBeforePlacement() {
		// A busy event loop may run this later than planned.
		if (!this.exchange.remaining().isPositive()) {
			this.exchange.endWithError(ErrorKind.OUTCOME_UNKNOWN);
			return true;
		}
		Duration quarantine = this.crashTracking.quarantine();
		if (quarantine.isPositive()) {
			this.exchange.endWithError(ErrorKind.REQUEST_QUARANTINED, quarantine);
			return true;
		}
		return false;
	}

	private void placeFirstAttempt(Placement placement) {
		this.dispatcher.meters()
			.demand()
			.add(this.service, placement.endpoint().serviceTimeMillis(placement.prefillTokens()), now());
		boolean bound = this.continuation.isBound();
		boolean behindOthers = !bound && this.admission.mayWait(placement)
				&& !this.dispatcher.queues().isEmpty(this.service);
		switch (bound ? this.admission.decideResumption(placement) : this.admission.decide(placement)) {
			case BacklogDecision.Send _ when !behindOthers -> start(placement, null);
			case BacklogDecision.Rejected rejected -> rejectLate(placement, rejected.retryAfter());
			case BacklogDecision.Send _, BacklogDecision.Wait _ -> offer(this.admission.waitingRequest(placement));
		}
	}

	private void start(Placement placement, @Nullable WaitingRequest waited) {
		this.waiting = null;
		// A request whose connection failed is placed again.
		if (waited != null || (this.admission.usesQueue(placement) && !this.started)) {
			this.started = true;
			this.dispatcher.queues()
				.started(this.service, (waited != null) ? waited : this.admission.waitingRequest(placement));
		}
		send(placement);
	}

	private void offer(WaitingRequest offered) {
		this.waiting = offered;
		this.dispatcher.queues().offer(this.service, offered, this);
	}

	/**
	 * Sends the request if an endpoint has room for it, or rejects it.
	 * @param first the request, which is first in the queue
	 * @return {@code false} if it waits further
	 */
	boolean startWaiting(WaitingRequest first) {
		if (endedBeforePlacement()) {
			return true;
		}
		if (!this.dispatcher.endpointsCurrent()) {
			return false;
		}
		Placement placement = this.endpoints.chooseAgain();
		if (placement == null) {
			return rejectIfLimited(first);
		}
		if (!(this.admission.decide(placement) instanceof BacklogDecision.Send)) {
			return false;
		}
		start(placement, first);
		return true;
	}

	private boolean rejectIfLimited(WaitingRequest first) {
		Duration retryAfter = this.endpoints.retryAfter();
		if (retryAfter == null || now() + retryAfter.toNanos() - first.latestStartAt() <= 0) {
			return false;
		}
		this.exchange.endWithError(ErrorKind.OVERLOADED, this.dispatcher.admission().retryAfter(retryAfter));
		return true;
	}

	private void rejectLate(Placement placement, Duration retryAfter) {
		boolean spread = this.admission.usesQueue(placement);
		this.exchange.endWithError(
				ErrorKind.OVERLOADED, spread
						? this.dispatcher.queues()
							.rejectedLate(this.service, this.admission.waitingRequest(placement), retryAfter)
						: retryAfter);
	}

	/**
	 * Reports that the request must not wait or wait further.
	 * @param reason the reason
	 * @param retryAfter the time after which the caller may retry
	 */
	void reject(RejectionReason reason, Duration retryAfter) {
		this.waiting = null;
		this.exchange.endWithError((reason == RejectionReason.SHUTDOWN) ? ErrorKind.STOPPING : ErrorKind.OVERLOADED,
				retryAfter);
	}

	private void send(Placement placement) {
		this.endpoints.recordTried(placement.endpoint().id());
		this.exchange.send(placement);
	}

	private void placementFailed() {
		Duration retryAfter = (this.retries.attempts() == 0) ? this.endpoints.retryAfter() : null;
		if (retryAfter != null) {
			this.exchange.endWithError(ErrorKind.OVERLOADED, this.dispatcher.admission().retryAfter(retryAfter));
		}
		else {
			waitForEndpoint();
		}
	}

	private void waitForEndpoint() {
		Duration wait = maximumWait().minus(this.exchange.elapsed());
		Duration retryAfter = (this.retries.attempts() == 0) ? this.endpoints.retryAfterBackoff(wait) : null;
		if (this.continuation.isBound() && this.endpoints.all().stream().allMatch(Endpoint::draining)) {
			this.exchange.endWithError(ErrorKind.STREAM_VERSION_UNAVAILABLE);
		}
		else if (retryAfter != null) {
			this.exchange.endWithError(ErrorKind.NO_ENDPOINT, this.dispatcher.admission().retryAfter(retryAfter));
		}
		else if (wait.isPositive() && this.retries.attempts() == 0) {
			this.endpoints.forgetTried();
			this.timer = schedule(POLL_INTERVAL);
		}
		else {
			this.exchange.endWithError(ErrorKind.NO_ENDPOINT);
		}
	}

	private Duration maximumWait() {
		return this.dispatcher.admission().maximumWait(this.route, this.exchange.remaining());
	}

	// While no endpoint can be reached, directly or through a peer, the next one takes as
	// long to fail as the last.
	void placeAfterFailedConnect() {
		boolean waited = this.exchange.elapsed().compareTo(maximumWait()) > 0;
		if (waited && this.dispatcher.connections().connector().isPartitioned(this.exchange.connectContext())) {
			this.exchange.endWithError(ErrorKind.NO_ENDPOINT);
		}
		else {
			place();
		}
	}

	/**
	 * Returns the time after which a caller may retry that is rejected for no particular
	 * endpoint. The endpoints that this request was sent to may serve the next one.
	 * @return the time
	 */
	Duration retryAfterRejection() {
		Duration retryAfter = this.endpoints.retryAfterNext();
		return (retryAfter != null) ? this.dispatcher.admission().retryAfter(retryAfter) : RETRY_AFTER;
	}

	/** Ends waiting at the end of the request. */
	void end() {
		this.ended = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (this.waiting != null) {
			this.dispatcher.queues().remove(this.service, this.waiting);
			this.waiting = null;
		}
	}

	private long now() {
		return this.dispatcher.clock().nanos();
	}

	private ScheduledFuture<?> schedule(Duration delay) {
		return this.dispatcher.eventLoop().schedule(this::place, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

}
