package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.EndpointId;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.EndpointCall;
import org.banyancove.gateway.shared.HeaderCodec;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request, from its arrival to the end of its answer.
 * <p>
 * A request that may have run is sent again only where its route allows repeating it. It
 * is answered "not run" only if no endpoint ever had a byte of it, or each that had it
 * stated so.
 */
final class Exchange implements ResponseSubscription {

	/** How often a request looks again while there is no endpoint. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(40);

	/** How often a request looks whether the endpoints have been read again. */
	private static final Duration REFRESH_POLL_INTERVAL = Duration.ofMillis(10);

	/**
	 * From an answer's deadline to giving it up: an endpoint's last word is on its way.
	 */
	private static final Duration RESPONSE_GRACE = Duration.ofMillis(120);

	/** A kept connection that has been idle for longer may have gone silent. */
	private static final Duration MAXIMUM_IDLE = Duration.ofSeconds(10);

	/** The same for a request that cannot be sent again if the connection was dead. */
	private static final Duration MAXIMUM_IDLE_ONCE = Duration.ofSeconds(2);

	/** The time after which a request is retried that an endpoint rejected unrun. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(400);

	private final RequestFlow flow;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private final Route route;

	private final Service service;

	private final @Nullable ClientAccount account;

	private final String requestId;

	private final long version;

	private final long deadlineAt;

	private final Set<EndpointId> tried = new HashSet<>();

	private final EventSplitter events;

	private final double draw;

	private int attempts;

	private boolean mayHaveRun;

	private boolean firstTokenSeen;

	private boolean ended;

	private @Nullable Attempt attempt;

	private @Nullable Long firstByteAt;

	private @Nullable ScheduledFuture<?> deadlineTimer;

	private @Nullable ScheduledFuture<?> responseTimer;

	private @Nullable ScheduledFuture<?> waitTimer;

	Exchange(RequestFlow flow, CallerConnection caller, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted) {
		this.flow = flow;
		this.caller = caller;
		this.request = request;
		this.requestHeaders = requestHeaders;
		this.route = accepted.route();
		this.service = accepted.service();
		this.account = accepted.account();
		this.requestId = String.valueOf(requestHeaders.requestId());
		this.version = flow.version();
		Duration wait = this.route.timeout();
		if (requestHeaders.deadline() != null && requestHeaders.deadline().compareTo(wait) < 0) {
			wait = requestHeaders.deadline();
		}
		this.deadlineAt = request.arrivedAt() + wait.toNanos();
		this.events = new EventSplitter(requestHeaders.lastEvent());
		this.draw = flow.draw();
	}

	void begin() {
		long left = this.deadlineAt - now() + RESPONSE_GRACE.toNanos();
		this.deadlineTimer = schedule(this::deadlinePassed, left);
		place();
	}

	private void place() {
		if (this.ended) {
			return;
		}
		if (!this.flow.endpointsCurrent()) {
			this.waitTimer = schedule(this::place, REFRESH_POLL_INTERVAL.toNanos());
			return;
		}
		Placement placement = this.flow.placement().choose(eligible(), prompt(), this.tried, now());
		if (placement == null) {
			Duration rateLimited = (this.attempts == 0)
					? this.flow.placement().rateLimitedFor(eligible(), this.tried, now()) : null;
			if (rateLimited != null) {
				reject(ErrorKind.OVERLOADED, this.flow.admission().retryAfter(rateLimited));
			}
			else {
				waitForEndpoint();
			}
			return;
		}
		if (this.attempts == 0) {
			this.flow.meteredBy()
				.work()
				.add(this.service.name(), placement.endpoint().workMillis(placement.prefillTokens()), now());
			Duration retryAfter = this.flow.admission()
				.retryAfter(this.route, Duration.ofNanos((long) (placement.predictedMillis() * 1e6)), elapsed(),
						remaining());
			if (!retryAfter.isZero()) {
				reject(ErrorKind.OVERLOADED, retryAfter);
				return;
			}
		}
		send(placement);
	}

	// A request that was sent before goes to a proven version.
	private List<Endpoint> eligible() {
		boolean endsWithEndpoint = this.route.kind() == RouteKind.STREAMING && !this.route.resumable();
		return (this.attempts == 0)
				? this.flow.endpoints().forRequest(this.service.name(), endsWithEndpoint, this.draw, now())
				: this.flow.endpoints().serving(this.service.name(), now());
	}

	private void waitForEndpoint() {
		boolean mayWait = elapsed().compareTo(this.flow.admission().maximumWait(this.route, remaining())) < 0;
		if (mayWait && this.attempts == 0) {
			this.tried.clear();
			this.waitTimer = schedule(this::place, POLL_INTERVAL.toNanos());
		}
		else {
			endWithout(ErrorKind.NO_ENDPOINT);
		}
	}

	private void send(Placement placement) {
		this.attempts++;
		this.tried.add(placement.endpoint().id());
		Attempt next = new Attempt(this, placement, this.attempts, now());
		this.attempt = next;
		rollouts().sent(this.service.name(), this.route.name(), version(next));
		boolean once = !this.route.repeatable();
		CallOptions options = new CallOptions(this.flow.admission().connectTimeout(this.route),
				once ? MAXIMUM_IDLE_ONCE : MAXIMUM_IDLE, this.flow.connectionShare(this.service));
		next.started(this.flow.connections()
			.call(placement.endpoint().entry().address(), endpointRequest(placement), options, next));
		watchResponse(this.flow.admission().responseTimeout(this.route));
	}

	private FullHttpRequest endpointRequest(Placement placement) {
		ByteBuf body = this.request.body().retainedDuplicate();
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.head().method(),
				this.request.head().uri(), body);
		HttpHeaders headers = copy.headers();
		AnswerHeaders.copy(this.request.head().headers(), headers);
		headers.names().stream().filter((name) -> !headerCodec().passesOn(name)).toList().forEach(headers::remove);
		if (body.isReadable() || this.request.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		headerCodec().writeCall(headers,
				new EndpointCall(placement.endpoint().id(), remaining(),
						(this.account != null) ? this.account.name() : null, urgency(), this.events.lastEvent(),
						(placement.prefixSource() != null) ? placement.prefixSource().entry().address() : null));
		return copy;
	}

	private @Nullable Integer urgency() {
		if (!this.service.generatesTokens()) {
			return null;
		}
		Integer ofAccount = (this.account != null) ? this.account.priority() : null;
		return Math.clamp((ofAccount != null) ? ofAccount : this.route.priority(), 0, 9);
	}

	// A connection may take as long as is left of an endpoint's drain time.
	boolean maySend(Endpoint endpoint) {
		return this.flow.endpointsCurrent() && this.flow.endpoints().accepts(endpoint);
	}

	void rateLimited(Endpoint endpoint, @Nullable Double requestsPerSecond) {
		if (endpoint.rateLimiter().observe(requestsPerSecond, now(), now())) {
			this.flow.requestLog().rateLimitChanged(endpoint.id(), requestsPerSecond);
		}
	}

	boolean streams(Attempt from) {
		return this.route.kind() == RouteKind.STREAMING && from.responseHeaders().sealed()
				&& from.answerHead().status().equals(HttpResponseStatus.OK);
	}

	void streamed(Attempt from, ByteBuf content) {
		byte[] whole;
		try {
			whole = this.events.read(content);
		}
		catch (IllegalStateException ex) {
			from.cancel();
			failed(from, CallFailure.UNREADABLE);
			return;
		}
		if (whole.length == 0) {
			return;
		}
		from.event();
		recordFirstToken();
		openStream(from);
		this.caller.stream(whole);
		watchResponse(this.flow.admission().streamTimeout(this.route));
	}

	private void openStream(Attempt from) {
		if (this.caller.streaming()) {
			return;
		}
		this.firstByteAt = now();
		HttpResponse start = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.answerHead().status());
		AnswerHeaders.copy(from.answerHead().headers(), start.headers());
		this.caller.beginStream(start);
	}

	void completed(Attempt from) {
		if (this.ended) {
			return;
		}
		if (streams(from)) {
			if (!this.events.clean()) {
				failed(from, CallFailure.BROKEN_ANSWER);
				return;
			}
			from.endpoint().answered(true, now());
			rollouts().answered(this.service.name(), this.route.name(), version(from), from.times());
			openStream(from);
			this.caller.endStream();
			end("answered", from.answerHead().status().code());
			return;
		}
		judge(from);
	}

	private void judge(Attempt from) {
		HttpResponseStatus status = from.answerHead().status();
		if (from.responseHeaders().notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			rejectedUnrun(from, status);
			return;
		}
		this.mayHaveRun = true;
		recordFirstToken();
		boolean success = status.code() >= 200 && status.code() < 300;
		boolean sound = success ? from.responseHeaders().sealed() : status.code() < 500;
		from.endpoint().answered(sound, now());
		if (sound && success) {
			from.endpoint().plainAnswer(from.elapsed());
		}
		if (sound) {
			rollouts().answered(this.service.name(), this.route.name(), version(from), from.times());
		}
		else {
			rollouts().failed(this.service.name(), this.route.name(), version(from));
		}
		if (sound) {
			deliver(from);
			return;
		}
		this.flow.requestLog()
			.attemptFailed(from.facts(), "status " + status.code() + " sealed " + from.responseHeaders().sealed());
		if (trySendAgain()) {
			return;
		}
		if (success || promisesNotRun(status)) {
			endWithout(ErrorKind.ENDPOINT_FAILED);
		}
		else {
			deliver(from);
		}
	}

	// These statuses would tell the caller that the request did not run.
	private static boolean promisesNotRun(HttpResponseStatus status) {
		return switch (status.code()) {
			case 408, 421, 429, 503 -> true;
			default -> false;
		};
	}

	private void rejectedUnrun(Attempt from, HttpResponseStatus status) {
		this.flow.requestLog().attemptFailed(from.facts(), "not run, status " + status.code());
		if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			// Another endpoint has the address; the one that was meant is gone.
			from.endpoint().unreachable(now());
			this.flow.connections().closeIdle(from.endpoint().entry().address());
		}
		if (status.equals(HttpResponseStatus.BAD_REQUEST)) {
			deliver(from);
			return;
		}
		if (!trySendAgain()) {
			endWithout(ErrorKind.OVERLOADED);
		}
	}

	private void deliver(Attempt from) {
		if (this.caller.streaming()) {
			end("stream not resumed", 0);
			this.caller.abort();
			return;
		}
		this.firstByteAt = now();
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, from.answerHead().status(),
				from.body());
		AnswerHeaders.copy(from.answerHead().headers(), answer.headers());
		end("answered", answer.status().code());
		this.caller.answer(answer);
	}

	void failed(Attempt from, CallFailure failure) {
		if (this.ended) {
			return;
		}
		this.flow.requestLog().attemptFailed(from.facts(), failure.name());
		if (!failure.mayHaveRun()) {
			this.attempts--;
			if (failure == CallFailure.NOT_SENT) {
				from.endpoint().unreachable(now());
			}
			place();
			return;
		}
		this.mayHaveRun = true;
		if (this.route.kind() != RouteKind.STREAMING) {
			recordFirstToken();
		}
		from.endpoint().failed(now());
		rollouts().failed(this.service.name(), this.route.name(), version(from));
		this.events.restart();
		if (trySendAgain()) {
			return;
		}
		endWithout(ErrorKind.ENDPOINT_FAILED);
	}

	private boolean trySendAgain() {
		boolean allowed = (!this.mayHaveRun || this.route.repeatable()) && this.attempts < this.route.maxAttempts();
		if (!allowed || !remaining().isPositive() || !this.flow.budget(this.service.name()).tryRetry()) {
			return false;
		}
		place();
		return true;
	}

	private void recordFirstToken() {
		if (!this.firstTokenSeen && this.account != null) {
			this.firstTokenSeen = true;
			this.flow.meteredBy().usage().recordStart(this.account.name(), this.flow.wallClock().instant());
		}
	}

	private void watchResponse(Duration longest) {
		cancel(this.responseTimer);
		this.responseTimer = null;
		if (this.route.repeatable() && this.attempts < this.route.maxAttempts()) {
			this.responseTimer = schedule(this::responseTimedOut, longest.toNanos());
		}
	}

	private void responseTimedOut() {
		Attempt current = this.attempt;
		if (this.ended || current == null || this.flow.budget(this.service.name()).left() < 1) {
			return;
		}
		current.cancel();
		failed(current, CallFailure.NO_ANSWER);
	}

	private void deadlinePassed() {
		giveUpAttempt();
		endWithout(ErrorKind.OUTCOME_UNKNOWN);
	}

	@Override
	public void callerLeft() {
		if (this.ended) {
			return;
		}
		giveUpAttempt();
		end("caller left", 0);
	}

	// An endpoint that is cut off would get request after request until its entry lapses,
	// if silence until the end did not count as a failure.
	private void giveUpAttempt() {
		Attempt current = this.attempt;
		if (current == null) {
			return;
		}
		current.cancel();
		if (current.unanswered()
				&& current.elapsed().compareTo(this.flow.admission().responseTimeout(this.route)) > 0) {
			this.flow.requestLog().attemptFailed(current.facts(), "no answer until the request was given up");
			current.endpoint().failed(now());
			rollouts().failed(this.service.name(), this.route.name(), version(current));
		}
	}

	private RolloutTable rollouts() {
		return this.flow.endpoints().rollouts();
	}

	private static String version(Attempt attempt) {
		return attempt.endpoint().entry().version();
	}

	// Ends a request that gets no endpoint's answer.
	private void endWithout(ErrorKind kind) {
		if (this.ended) {
			return;
		}
		if (this.caller.streaming()) {
			end(kind.code(), 0);
			this.caller.abort();
			return;
		}
		boolean sent = this.mayHaveRun || (kind == ErrorKind.OUTCOME_UNKNOWN && this.attempts > 0);
		if (sent) {
			ErrorKind reported = (kind == ErrorKind.OUTCOME_UNKNOWN) ? kind : ErrorKind.ENDPOINT_FAILED;
			end(reported.code(), reported.status());
			this.caller.answer(FailureAnswer.of(reported, null));
		}
		else {
			reject((kind == ErrorKind.OUTCOME_UNKNOWN) ? ErrorKind.NO_ENDPOINT : kind, RETRY_AFTER);
		}
	}

	private void reject(ErrorKind kind, Duration retryAfter) {
		end(kind.code(), kind.status());
		this.caller.answer(FailureAnswer.of(kind, retryAfter));
	}

	private void end(String outcome, int status) {
		this.ended = true;
		cancel(this.deadlineTimer);
		cancel(this.responseTimer);
		cancel(this.waitTimer);
		this.flow.ended();
		Duration untilFirst = (this.firstByteAt != null) ? Duration.ofNanos(this.firstByteAt - this.request.arrivedAt())
				: null;
		String endpoint = (this.attempt != null) ? this.attempt.endpoint().id().value() : null;
		this.flow.requestLog()
			.ended(new RequestLog.RequestFacts(this.requestId, this.route.name(), outcome, status, endpoint,
					this.attempts, untilFirst, elapsed(), this.version));
	}

	String requestId() {
		return this.requestId;
	}

	HeaderCodec headerCodec() {
		return this.flow.headerCodec();
	}

	Prompt prompt() {
		return this.requestHeaders.prompt();
	}

	long now() {
		return this.flow.clock().nanos();
	}

	private Duration elapsed() {
		return Duration.ofNanos(now() - this.request.arrivedAt());
	}

	private Duration remaining() {
		return Duration.ofNanos(Math.max(0, this.deadlineAt - now()));
	}

	private ScheduledFuture<?> schedule(Runnable action, long nanos) {
		return this.flow.eventLoop().schedule(action, Math.max(0, nanos), TimeUnit.NANOSECONDS);
	}

	private static void cancel(@Nullable ScheduledFuture<?> timer) {
		if (timer != null) {
			timer.cancel(false);
		}
	}

}
