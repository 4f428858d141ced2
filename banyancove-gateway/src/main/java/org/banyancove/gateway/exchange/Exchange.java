package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.EndpointId;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.migration.MigrationRule;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.StoppedRun;
import org.jspecify.annotations.Nullable;

/**
 * The processing of one request, from its arrival to the end of its response.
 * <p>
 * A request that may have run is retried only if its route is repeatable. It is reported
 * as not run only if no endpoint received a byte of it, or each endpoint that did stated
 * that it had not run it.
 */
final class Exchange implements InFlightRequest {

	/** The interval at which placement is retried while no endpoint is available. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(40);

	/** The interval at which placement is retried while the endpoints are outdated. */
	private static final Duration REFRESH_POLL_INTERVAL = Duration.ofMillis(10);

	/**
	 * The grace period after the deadline, for a response that is still in transit.
	 */
	static final Duration RESPONSE_GRACE = Duration.ofMillis(120);

	/** The retry delay reported to the caller of a request that was not run. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(400);

	private final RequestDispatcher dispatcher;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private final Route route;

	private final Service service;

	private final String requestId;

	private final long deadlineAt;

	private final Set<EndpointId> triedEndpoints = new HashSet<>();

	private final EndpointRequestFactory endpointRequests;

	private final SseEventSplitter eventSplitter;

	private final CrashTracking crashTracking;

	private final StreamContinuation continuation;

	private final RequestRetries retries;

	private final RequestAccounting accounting;

	private final StreamMigration migration;

	private final double versionDraw;

	private boolean mayHaveRun;

	private boolean ended;

	private @Nullable Attempt currentAttempt;

	private @Nullable ScheduledFuture<?> deadlineTimer;

	private @Nullable ScheduledFuture<?> responseTimer;

	private @Nullable ScheduledFuture<?> placementTimer;

	Exchange(RequestDispatcher dispatcher, CallerConnection caller, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted, @Nullable KnownOrigin streamOrigin) {
		this.dispatcher = dispatcher;
		this.caller = caller;
		this.request = request;
		this.requestHeaders = requestHeaders;
		this.route = accepted.route();
		this.service = accepted.service();
		this.requestId = String.valueOf(requestHeaders.requestId());
		this.deadlineAt = request.arrivedAt() + this.route.timeout(requestHeaders.deadline()).toNanos();
		this.endpointRequests = new EndpointRequestFactory(dispatcher, request, this.requestId, accepted);
		this.eventSplitter = new SseEventSplitter(requestHeaders.lastEventId());
		this.crashTracking = new CrashTracking(dispatcher, request, requestHeaders.prompt(), accepted.account());
		this.continuation = new StreamContinuation(dispatcher, request, requestHeaders, accepted, streamOrigin);
		this.retries = new RequestRetries(dispatcher, this.requestId, this.service.name(), this.route);
		this.accounting = new RequestAccounting(dispatcher, request, requestHeaders, accepted);
		this.migration = new StreamMigration(this, dispatcher, accepted, this.endpointRequests, this.continuation,
				this.crashTracking, this.eventSplitter);
		this.versionDraw = dispatcher.nextRandom();
	}

	void begin() {
		long timeoutNanos = this.deadlineAt - now() + RESPONSE_GRACE.toNanos();
		this.deadlineTimer = schedule(this::deadlineExceeded, timeoutNanos);
		place();
	}

	private void place() {
		if (this.ended) {
			return;
		}
		// Until the request is sent, no response is awaited, and one placement is enough.
		cancel(this.responseTimer);
		cancel(this.placementTimer);
		// A busy event loop may run this later than planned.
		if (!remaining().isPositive()) {
			endWithError(ErrorKind.OUTCOME_UNKNOWN);
			return;
		}
		Duration quarantine = this.crashTracking.quarantine();
		if (quarantine.isPositive()) {
			endWithError(ErrorKind.REQUEST_QUARANTINED, quarantine);
			return;
		}
		if (!this.dispatcher.freshness().current() || !this.continuation.isReady()) {
			this.placementTimer = schedule(this::place, REFRESH_POLL_INTERVAL.toNanos());
			return;
		}
		if (!this.continuation.isCertain()) {
			endWithError(ErrorKind.STREAM_ORIGIN_UNKNOWN, StreamResumption.RETRY_AFTER_UNKNOWN_ORIGIN);
			return;
		}
		Placement placement = choosePlacement();
		if (placement == null) {
			placementFailed();
			return;
		}
		if (this.retries.attempts() == 0) {
			this.dispatcher.meters()
				.demand()
				.add(this.service.name(), placement.endpoint().serviceTimeMillis(placement.prefillTokens()), now());
			Duration predicted = Duration.ofNanos((long) (placement.predictedMillis() * 1e6));
			Duration retryAfter = this.continuation.isBound()
					? this.dispatcher.admission().retryAfterResumption(predicted, remaining())
					: this.dispatcher.admission().retryAfter(this.route, predicted, elapsed(), remaining());
			if (!retryAfter.isZero()) {
				reject(ErrorKind.OVERLOADED, retryAfter);
				return;
			}
		}
		send(placement);
	}

	private @Nullable Placement choosePlacement() {
		List<Endpoint> eligible = eligible();
		Placement placement = choosePlacement(eligible, this.triedEndpoints);
		// The endpoint that broke off may be the last one of its version.
		return (placement == null && this.continuation.isBound()) ? choosePlacement(eligible, Set.of()) : placement;
	}

	private @Nullable Placement choosePlacement(List<Endpoint> eligible, Set<EndpointId> tried) {
		return this.dispatcher.choosePlacement(this.service, eligible, prompt(), this.route.latencyTarget(), tried);
	}

	private void placementFailed() {
		Duration retryAfter = (this.retries.attempts() == 0)
				? this.dispatcher.placement().retryAfter(eligible(), this.triedEndpoints, now()) : null;
		if (retryAfter != null) {
			reject(ErrorKind.OVERLOADED, this.dispatcher.admission().retryAfter(retryAfter));
		}
		else {
			waitForEndpoint();
		}
	}

	// Retries go to a version that has proved stable.
	private List<Endpoint> eligible() {
		if (this.continuation.isBound()) {
			return this.continuation.eligible(now());
		}
		boolean boundToEndpoint = this.route.kind() == RouteKind.STREAMING && !this.route.resumable();
		return (this.retries.attempts() == 0)
				? this.dispatcher.endpoints().forRequest(this.service.name(), boundToEndpoint, this.versionDraw, now())
				: this.dispatcher.endpoints().stableEndpoints(this.service.name(), now());
	}

	private void waitForEndpoint() {
		Duration wait = this.dispatcher.admission().maximumWait(this.route, remaining()).minus(elapsed());
		Duration retryAfter = (this.retries.attempts() == 0)
				? this.dispatcher.placement().retryAfterBackoff(eligible(), wait, now()) : null;
		if (this.continuation.isBound() && eligible().stream().allMatch(Endpoint::draining)) {
			endWithError(ErrorKind.STREAM_VERSION_UNAVAILABLE);
		}
		else if (retryAfter != null) {
			reject(ErrorKind.NO_ENDPOINT, this.dispatcher.admission().retryAfter(retryAfter));
		}
		else if (wait.isPositive() && this.retries.attempts() == 0) {
			this.triedEndpoints.clear();
			this.placementTimer = schedule(this::place, POLL_INTERVAL.toNanos());
		}
		else {
			endWithError(ErrorKind.NO_ENDPOINT);
		}
	}

	private void send(Placement placement) {
		this.retries.attemptStarted();
		this.crashTracking.recordSent();
		Attempt newAttempt = send(placement, null);
		this.accounting.recordSent(newAttempt);
		this.migration.watch(newAttempt);
	}

	/**
	 * Sends the request on to the endpoint that continues its run, which is no further
	 * attempt.
	 * @param placement the endpoint
	 * @param run the run, which has stopped
	 * @return the call to the endpoint
	 */
	Attempt sendOn(Placement placement, StoppedRun run) {
		this.mayHaveRun = true;
		this.eventSplitter.discardPartialEvent();
		return send(placement, run);
	}

	private Attempt send(Placement placement, @Nullable StoppedRun run) {
		InetSocketAddress address = placement.endpoint().entry().address();
		this.triedEndpoints.add(placement.endpoint().id());
		Attempt newAttempt = new Attempt(this, placement, this.retries.attempts(), now(),
				this.dispatcher.responseBuffers(), run != null);
		this.currentAttempt = newAttempt;
		this.continuation.attemptSent();
		newAttempt.callStarted(this.dispatcher.connections()
			.call(address, this.endpointRequests.create(placement, remaining(), this.eventSplitter.lastEventId(), run),
					this.endpointRequests.options(address, remaining().plus(RESPONSE_GRACE)), newAttempt));
		startResponseTimer(this.dispatcher.admission().responseTimeout(this.route));
		return newAttempt;
	}

	// Establishing a connection may take as long as the rest of an endpoint's drain time.
	boolean maySend(Attempt attempt) {
		if (this.migration.isContinuation(attempt)) {
			return this.migration.mayContinue();
		}
		Endpoint endpoint = attempt.endpoint();
		return remaining().isPositive() && this.dispatcher.freshness().current()
				&& this.dispatcher.endpoints().accepts(endpoint) && endpoint.pause().remaining(now()).isZero();
	}

	EndpointAnnouncements announcements() {
		return this.dispatcher.announcements();
	}

	void responseDiscarded(Attempt attempt, @Nullable String statedRequestId, int status) {
		this.dispatcher.requestLog()
			.responseDiscarded(this.requestId, attempt.endpoint().id(), statedRequestId, status);
	}

	boolean isStreaming(Attempt attempt) {
		return this.route.kind() == RouteKind.STREAMING && attempt.responseHeaders().sealed()
				&& attempt.responseHead().status().equals(HttpResponseStatus.OK);
	}

	void forwardEvents(Attempt attempt, ByteBuf content) {
		// The caller's connection may carry its next request by now.
		if (this.ended) {
			attempt.cancel();
			return;
		}
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
		this.migration.recordAnswer(attempt);
		this.crashTracking.recordEvent(attempt);
		this.accounting.recordUsage();
		this.continuation.begin(attempt);
		startStream(attempt);
		this.caller.writeContent(completeEvents);
		if (this.caller.isWritable()) {
			startResponseTimer(this.dispatcher.admission().streamTimeout(this.route));
		}
		else {
			// Events would accumulate faster than the caller reads them.
			cancel(this.responseTimer);
			attempt.pauseReading();
		}
	}

	@Override
	public void callerWritable() {
		Attempt current = this.currentAttempt;
		if (!this.ended && current != null && current.resumeReading()) {
			startResponseTimer(this.dispatcher.admission().streamTimeout(this.route));
		}
	}

	private void startStream(Attempt attempt) {
		if (this.caller.streaming()) {
			return;
		}
		this.accounting.recordFirstByte();
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
			this.migration.recordAnswer(attempt);
			attempt.endpoint().requestAnswered(true, now());
			this.crashTracking.recordSuccess(attempt);
			this.accounting.recordAnswered(attempt);
			startStream(attempt);
			this.caller.endStream();
			end("answered", attempt.responseHead().status().code());
			return;
		}
		this.migration.recordRefusal(attempt);
		evaluate(attempt);
	}

	private void evaluate(Attempt attempt) {
		HttpResponseStatus status = attempt.responseHead().status();
		if (attempt.responseHeaders().notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			handleNotRun(attempt, status);
			return;
		}
		this.mayHaveRun = true;
		this.accounting.recordUsage();
		boolean success = status.code() >= 200 && status.code() < 300;
		boolean valid = success ? attempt.responseHeaders().sealed() : status.code() < 500;
		attempt.endpoint().requestAnswered(valid, now());
		if (valid && success) {
			attempt.endpoint().latency().recordResponseTime(attempt.elapsed(), now());
			this.crashTracking.recordSuccess(attempt);
		}
		if (valid) {
			this.accounting.recordAnswered(attempt);
		}
		else {
			this.accounting.recordFailed(attempt);
		}
		if (valid && mayForward(status)) {
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

	// A status that promises that a request has not run makes its caller repeat it. Only
	// the statement of an endpoint that rejected the request is such a promise.
	private boolean mayForward(HttpResponseStatus status) {
		return this.route.repeatable() || !ErrorResponse.impliesNotRun(status);
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
		this.accounting.recordFirstByte();
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, attempt.responseHead().status(),
				attempt.body());
		EndToEndHeaders.copy(attempt.responseHead().headers(), response.headers());
		end("answered", response.status().code());
		int reservedBytes = attempt.takeReservedBytes();
		this.caller.respond(response, () -> attempt.releaseBody(reservedBytes));
	}

	void failed(Attempt attempt, CallFailure failure) {
		if (this.ended || this.migration.handlesFailure(attempt, failure)) {
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
			placeAfterFailedConnect();
			return;
		}
		if (failure.connectionLost()) {
			this.crashTracking.recordLoss(attempt);
		}
		this.mayHaveRun = true;
		if (this.route.kind() != RouteKind.STREAMING) {
			this.accounting.recordUsage();
		}
		attempt.endpoint().requestFailed(attempt.sentAt(), now());
		this.accounting.recordFailed(attempt);
		this.eventSplitter.discardPartialEvent();
		if (retryIfAllowed()) {
			return;
		}
		endWithError(ErrorKind.ENDPOINT_FAILED);
	}

	// While no endpoint can be reached, directly or through a peer, the next one takes as
	// long to fail as the last.
	private void placeAfterFailedConnect() {
		boolean waited = elapsed().compareTo(this.dispatcher.admission().maximumWait(this.route, remaining())) > 0;
		if (waited && this.dispatcher.connections().connector().isPartitioned(this.endpointRequests.connectContext())) {
			endWithError(ErrorKind.NO_ENDPOINT);
		}
		else {
			place();
		}
	}

	private boolean retryIfAllowed() {
		boolean allowed = (!this.mayHaveRun || this.route.repeatable()) && this.retries.hasAttemptsLeft();
		if (!allowed || !remaining().isPositive() || this.crashTracking.quarantine().isPositive()
				|| !this.retries.tryAcquire()) {
			return false;
		}
		place();
		return true;
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
		if (this.migration.awaitsAnswer()) {
			startResponseTimer(MigrationRule.ANSWER_TIMEOUT);
			return;
		}
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

	/**
	 * Answers the request at the end of the process. A request that was sent may have
	 * run.
	 */
	void processEnds() {
		cancelAttempt();
		endWithError((this.retries.attempts() > 0) ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.STOPPING);
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
			this.accounting.recordFailed(current);
		}
	}

	// Ends a request for which no endpoint response can be forwarded.
	private void endWithError(ErrorKind kind) {
		endWithError(kind, retryAfterRejection());
	}

	// The endpoints that this request was sent to may serve the caller's next one.
	private Duration retryAfterRejection() {
		Duration retryAfter = this.dispatcher.placement().retryAfter(eligible(), Set.of(), now());
		return (retryAfter != null) ? this.dispatcher.admission().retryAfter(retryAfter) : RETRY_AFTER;
	}

	private void endWithError(ErrorKind kind, Duration retryAfter) {
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
		cancel(this.placementTimer);
		this.retries.end();
		this.migration.end();
		this.dispatcher.ended(this);
		this.accounting.recordEnd(outcome, status, this.currentAttempt, this.retries.attempts());
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

	private Duration elapsed() {
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
