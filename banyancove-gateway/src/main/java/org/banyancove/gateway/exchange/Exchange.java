package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.tunnel.ConnectContext;
import org.jspecify.annotations.Nullable;

/**
 * The processing of one request, from its arrival to the end of its response.
 * <p>
 * A request that may have run is retried only if its route is repeatable. It is reported
 * as not run only if no endpoint received a byte of it, or each endpoint that did stated
 * that it had not run it.
 */
final class Exchange implements InFlightRequest {

	/**
	 * The grace period after the deadline, for a response that is still in transit.
	 */
	private static final Duration RESPONSE_GRACE = Duration.ofMillis(120);

	private final RequestDispatcher dispatcher;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private final Route route;

	private final Service service;

	private final @Nullable ClientAccount account;

	private final String requestId;

	private final long configurationVersion;

	private final long deadlineAt;

	private final EndpointRequestFactory endpointRequests;

	private final SseEventSplitter eventSplitter;

	private final CrashTracking crashTracking;

	private final StreamContinuation continuation;

	private final RequestRetries retries;

	private final RequestPlacement placement;

	private boolean mayHaveRun;

	private boolean usageRecorded;

	private boolean ended;

	private @Nullable Attempt currentAttempt;

	private @Nullable Long firstByteAt;

	private @Nullable ScheduledFuture<?> deadlineTimer;

	private @Nullable ScheduledFuture<?> responseTimer;

	Exchange(RequestDispatcher dispatcher, CallerConnection caller, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted, @Nullable KnownOrigin streamOrigin) {
		this.dispatcher = dispatcher;
		this.caller = caller;
		this.request = request;
		this.requestHeaders = requestHeaders;
		this.route = accepted.route();
		this.service = accepted.service();
		this.account = accepted.account();
		this.requestId = String.valueOf(requestHeaders.requestId());
		this.configurationVersion = dispatcher.configurationVersion();
		Duration timeout = this.route.timeout();
		if (requestHeaders.deadline() != null && requestHeaders.deadline().compareTo(timeout) < 0) {
			timeout = requestHeaders.deadline();
		}
		this.deadlineAt = request.arrivedAt() + timeout.toNanos();
		this.endpointRequests = new EndpointRequestFactory(dispatcher.headerCodec(), request, accepted);
		this.eventSplitter = new SseEventSplitter(requestHeaders.lastEventId());
		this.crashTracking = new CrashTracking(dispatcher, request, requestHeaders.prompt(), this.account);
		this.continuation = new StreamContinuation(dispatcher, request, requestHeaders, accepted, streamOrigin);
		this.retries = new RequestRetries(dispatcher, this.requestId, this.service.name(), this.route);
		this.placement = new RequestPlacement(dispatcher, this, request, accepted, this.crashTracking,
				this.continuation, this.retries);
	}

	void begin() {
		long timeoutNanos = this.deadlineAt - now() + RESPONSE_GRACE.toNanos();
		this.deadlineTimer = schedule(this::deadlineExceeded, timeoutNanos);
		this.placement.place();
	}

	void send(Placement chosen) {
		this.retries.attemptStarted();
		Attempt newAttempt = new Attempt(this, chosen, this.retries.attempts(), now(),
				this.dispatcher.responseBuffers());
		this.currentAttempt = newAttempt;
		this.continuation.attemptSent();
		this.crashTracking.recordSent();
		rollouts().recordSent(this.service.name(), this.route.name(), newAttempt.version());
		CallOptions options = CallOptions.forRequest(this.route.repeatable(),
				this.dispatcher.admission().connectTimeout(this.route), this.dispatcher.connectionLimit(this.service),
				connectContext());
		newAttempt.callStarted(this.dispatcher.connections()
			.call(chosen.endpoint().entry().address(),
					this.endpointRequests.create(chosen, remaining(), this.eventSplitter.lastEventId()), options,
					newAttempt));
		startResponseTimer(this.dispatcher.admission().responseTimeout(this.route));
	}

	ConnectContext connectContext() {
		return new ConnectContext(this.service.name(), this.dispatcher.endpoints().count(this.service.name()),
				this.requestId, this.dispatcher.requestLog());
	}

	// Establishing a connection may take as long as the rest of an endpoint's drain time.
	boolean maySend(Endpoint endpoint) {
		return remaining().isPositive() && this.dispatcher.endpointsCurrent()
				&& this.dispatcher.endpoints().accepts(endpoint) && endpoint.pause().remaining(now()).isZero();
	}

	EndpointAnnouncements announcements() {
		return this.dispatcher.announcements();
	}

	void endpointHasRoom() {
		this.dispatcher.queues().check();
	}

	boolean isStreaming(Attempt attempt) {
		return this.route.kind() == RouteKind.STREAMING && attempt.responseHeaders().sealed()
				&& attempt.responseHead().status().equals(HttpResponseStatus.OK);
	}

	void forwardEvents(Attempt attempt, ByteBuf content) {
		byte[] completeEvents;
		try {
			completeEvents = this.eventSplitter.read(content);
		}
		catch (IllegalStateException ex) {
			attempt.cancel();
			failed(attempt, CallFailure.UNREADABLE);
			return;
		}
		if (completeEvents.length == 0) {
			return;
		}
		attempt.eventReceived();
		this.crashTracking.recordEvent(attempt);
		recordUsage();
		this.continuation.begin(attempt);
		startStream(attempt);
		this.caller.writeContent(completeEvents);
		startResponseTimer(this.dispatcher.admission().streamTimeout(this.route));
	}

	private void startStream(Attempt attempt) {
		if (this.caller.streaming()) {
			return;
		}
		this.firstByteAt = now();
		HttpResponse start = new DefaultHttpResponse(HttpVersion.HTTP_1_1, attempt.responseHead().status());
		EndToEndHeaders.copy(attempt.responseHead().headers(), start.headers());
		this.caller.beginStream(start);
	}

	void completed(Attempt attempt) {
		if (this.ended) {
			return;
		}
		if (isStreaming(attempt)) {
			if (!this.eventSplitter.isAtEventBoundary()) {
				failed(attempt, CallFailure.BROKEN_ANSWER);
				return;
			}
			attempt.endpoint().requestAnswered(true, now());
			this.crashTracking.recordSuccess(attempt);
			rollouts().recordAnswered(this.service.name(), this.route.name(), attempt.version(),
					attempt.responseTimes());
			startStream(attempt);
			this.caller.endStream();
			end("answered", attempt.responseHead().status().code());
			return;
		}
		evaluate(attempt);
	}

	private void evaluate(Attempt attempt) {
		HttpResponseStatus status = attempt.responseHead().status();
		if (attempt.responseHeaders().notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			handleNotRun(attempt, status);
			return;
		}
		this.mayHaveRun = true;
		recordUsage();
		boolean success = status.code() >= 200 && status.code() < 300;
		boolean valid = success ? attempt.responseHeaders().sealed() : status.code() < 500;
		attempt.endpoint().requestAnswered(valid, now());
		if (valid && success) {
			attempt.endpoint().recordResponseTime(attempt.elapsed());
			this.crashTracking.recordSuccess(attempt);
		}
		if (valid) {
			rollouts().recordAnswered(this.service.name(), this.route.name(), attempt.version(),
					attempt.responseTimes());
		}
		else {
			rollouts().recordFailed(this.service.name(), this.route.name(), attempt.version());
		}
		if (valid) {
			forwardResponse(attempt);
			return;
		}
		this.dispatcher.requestLog()
			.attemptFailed(attempt.describe(),
					"status " + status.code() + " sealed " + attempt.responseHeaders().sealed());
		if (retryIfAllowed()) {
			return;
		}
		if (success || ErrorResponse.impliesNotRun(status)) {
			endWithError(ErrorKind.ENDPOINT_FAILED);
		}
		else {
			forwardResponse(attempt);
		}
	}

	private void handleNotRun(Attempt attempt, HttpResponseStatus status) {
		this.dispatcher.requestLog().attemptFailed(attempt.describe(), "not run, status " + status.code());
		if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			// The address now belongs to another endpoint; the intended one is gone.
			attempt.endpoint().unreachable(attempt.sentAt(), now());
			this.dispatcher.connections().closeIdle(attempt.endpoint().entry().address());
		}
		if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			attempt.endpoint().requestRejected(now());
		}
		if (status.equals(HttpResponseStatus.BAD_REQUEST)) {
			forwardResponse(attempt);
			return;
		}
		if (!retryIfAllowed()) {
			endWithError(ErrorKind.OVERLOADED);
		}
	}

	private void forwardResponse(Attempt attempt) {
		if (this.caller.streaming()) {
			end("stream not resumed", 0);
			this.caller.abort();
			return;
		}
		this.firstByteAt = now();
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, attempt.responseHead().status(),
				attempt.body());
		EndToEndHeaders.copy(attempt.responseHead().headers(), response.headers());
		end("answered", response.status().code());
		this.caller.respond(response);
	}

	void failed(Attempt attempt, CallFailure failure) {
		if (this.ended) {
			return;
		}
		this.dispatcher.requestLog()
			.attemptFailed(failure.connectionLost() ? attempt.describe().withLost(this.crashTracking.describe(attempt))
					: attempt.describe(), failure.name());
		if (!failure.mayHaveRun()) {
			this.retries.attemptNotSent();
			if (failure.endpointUnreachable()) {
				attempt.endpoint().unreachable(attempt.sentAt(), now());
			}
			this.placement.placeAfterFailedConnect();
			return;
		}
		if (failure.connectionLost()) {
			this.crashTracking.recordLoss(attempt);
		}
		this.mayHaveRun = true;
		if (this.route.kind() != RouteKind.STREAMING) {
			recordUsage();
		}
		attempt.endpoint().requestFailed(attempt.sentAt(), now());
		rollouts().recordFailed(this.service.name(), this.route.name(), attempt.version());
		this.eventSplitter.discardPartialEvent();
		if (retryIfAllowed()) {
			return;
		}
		endWithError(ErrorKind.ENDPOINT_FAILED);
	}

	private boolean retryIfAllowed() {
		boolean allowed = (!this.mayHaveRun || this.route.repeatable()) && this.retries.hasAttemptsLeft();
		if (!allowed || !remaining().isPositive() || this.crashTracking.quarantine().isPositive()
				|| !this.retries.tryAcquire()) {
			return false;
		}
		this.placement.place();
		return true;
	}

	private void recordUsage() {
		if (!this.usageRecorded && this.account != null) {
			this.usageRecorded = true;
			this.dispatcher.meters().usage().recordStart(this.account.name(), this.dispatcher.wallClock().instant());
		}
	}

	private void startResponseTimer(Duration timeout) {
		cancel(this.responseTimer);
		this.responseTimer = null;
		if (this.route.repeatable() && this.retries.hasAttemptsLeft()) {
			this.responseTimer = schedule(this::responseTimedOut, timeout.toNanos());
		}
	}

	private void responseTimedOut() {
		Attempt current = this.currentAttempt;
		if (this.ended || current == null || !this.retries.tryAcquire()) {
			return;
		}
		current.cancel();
		failed(current, CallFailure.TIMED_OUT);
	}

	private void deadlineExceeded() {
		cancelAttempt();
		endWithError(ErrorKind.OUTCOME_UNKNOWN);
	}

	@Override
	public void callerDisconnected() {
		if (this.ended) {
			return;
		}
		cancelAttempt();
		end("caller left", 0);
	}

	// A missing response counts as a failure: otherwise an endpoint behind a network
	// partition would be sent one request after another until its entry expires.
	private void cancelAttempt() {
		Attempt current = this.currentAttempt;
		if (current == null) {
			return;
		}
		current.cancel();
		if (current.awaitingResponse()
				&& current.elapsed().compareTo(this.dispatcher.admission().responseTimeout(this.route)) > 0) {
			this.dispatcher.requestLog()
				.attemptFailed(current.describe(), "no response before the request was cancelled");
			current.endpoint().requestFailed(current.sentAt(), now());
			rollouts().recordFailed(this.service.name(), this.route.name(), current.version());
		}
	}

	private RolloutTable rollouts() {
		return this.dispatcher.endpoints().rollouts();
	}

	// Ends a request for which no endpoint response can be forwarded.
	void endWithError(ErrorKind kind) {
		endWithError(kind, this.placement.retryAfterRejection());
	}

	void endWithError(ErrorKind kind, Duration retryAfter) {
		if (this.ended) {
			return;
		}
		if (this.caller.streaming()) {
			end(kind.code(), 0);
			this.caller.abort();
			return;
		}
		boolean outcomeUnknown = this.mayHaveRun || (kind == ErrorKind.OUTCOME_UNKNOWN && this.retries.attempts() > 0);
		if (outcomeUnknown) {
			ErrorKind reported = (kind == ErrorKind.OUTCOME_UNKNOWN) ? kind : ErrorKind.ENDPOINT_FAILED;
			end(reported.code(), reported.status());
			this.caller.respond(ErrorResponse.of(reported, null));
		}
		else {
			reject((kind == ErrorKind.OUTCOME_UNKNOWN) ? ErrorKind.NO_ENDPOINT : kind, retryAfter);
		}
	}

	private void reject(ErrorKind kind, Duration retryAfter) {
		end(kind.code(), kind.status());
		this.caller.respond(ErrorResponse.of(kind, retryAfter));
	}

	private void end(String outcome, int status) {
		this.ended = true;
		cancel(this.deadlineTimer);
		cancel(this.responseTimer);
		this.placement.end();
		this.retries.end();
		this.dispatcher.ended();
		Duration timeToFirstByte = (this.firstByteAt != null)
				? Duration.ofNanos(this.firstByteAt - this.request.arrivedAt()) : null;
		Attempt last = this.currentAttempt;
		String endpoint = (last != null) ? last.endpoint().id().value() : null;
		String endpointVersion = (last != null) ? last.version() : null;
		this.dispatcher.requestLog()
			.ended(new RequestLog.EndedRequest(this.requestId, this.route.name(), outcome, status, endpoint,
					endpointVersion, this.requestHeaders.resumedRequestId(), this.retries.attempts(), timeToFirstByte,
					elapsed(), this.configurationVersion));
	}

	String requestId() {
		return this.requestId;
	}

	HeaderCodec headerCodec() {
		return this.dispatcher.headerCodec();
	}

	Prompt prompt() {
		return this.requestHeaders.prompt();
	}

	long now() {
		return this.dispatcher.clock().nanos();
	}

	Duration elapsed() {
		return Duration.ofNanos(now() - this.request.arrivedAt());
	}

	Duration remaining() {
		return Duration.ofNanos(Math.max(0, this.deadlineAt - now()));
	}

	private ScheduledFuture<?> schedule(Runnable action, long nanos) {
		return this.dispatcher.eventLoop().schedule(action, Math.max(0, nanos), TimeUnit.NANOSECONDS);
	}

	private static void cancel(@Nullable ScheduledFuture<?> timer) {
		if (timer != null) {
			timer.cancel(false);
		}
	}

}
