package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import org.banyancove.core.AccountName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.shared.CallerHeaders;
import org.jspecify.annotations.Nullable;

/**
 * A request that resumes a stream, until it is known which software version began the
 * stream.
 * <p>
 * If that remains unknown, the request is rejected: any version could be the wrong one.
 */
final class StreamResumption implements InFlightRequest {

	/** A caller that begins the stream anew need not wait. */
	static final Duration RETRY_AFTER_UNKNOWN_ORIGIN = Duration.ZERO;

	/** Visible ASCII characters but the comma, which joins repeated headers. */
	private static final Predicate<String> VALID_REQUEST_ID = Pattern.compile("[!-+\\--~]{1,128}").asMatchPredicate();

	private final RequestDispatcher dispatcher;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private @Nullable InFlightRequest started;

	/** Whether the search no longer matters. */
	private boolean ended;

	StreamResumption(RequestDispatcher dispatcher, CallerConnection caller, CallerRequest request,
			CallerHeaders requestHeaders) {
		this.dispatcher = dispatcher;
		this.caller = caller;
		this.request = request;
		this.requestHeaders = requestHeaders;
	}

	/**
	 * Returns whether a request resumes a stream.
	 * @param route its route
	 * @param requestHeaders its headers
	 * @return whether its caller has events of the stream
	 */
	static boolean isResumption(Route route, CallerHeaders requestHeaders) {
		return route.kind() == RouteKind.STREAMING
				&& (requestHeaders.resumedRequestId() != null || requestHeaders.lastEventId() != null);
	}

	void start(RoutingDecision.Accepted accepted) {
		String resumed = this.requestHeaders.resumedRequestId();
		if (resumed != null && !VALID_REQUEST_ID.test(resumed)) {
			reject(ErrorKind.MALFORMED_REQUEST, null);
			return;
		}
		AccountName account = (accepted.account() != null) ? accepted.account().name() : null;
		StreamKey stream = this.request.streamKey((resumed != null) ? resumed : "", account);
		this.dispatcher.searchBegins(this);
		this.dispatcher.streamOrigins().find(stream, accepted.route(), this::found);
	}

	// The configuration may have changed during the search.
	private void found(@Nullable KnownOrigin origin) {
		if (this.ended) {
			return;
		}
		end();
		this.dispatcher.requestLog()
			.streamOriginSearched(this.requestHeaders.requestId(), this.requestHeaders.resumedRequestId(), origin,
					Duration.ofNanos(this.dispatcher.clock().nanos() - this.request.arrivedAt()));
		if (origin == null) {
			reject(ErrorKind.STREAM_ORIGIN_UNKNOWN, RETRY_AFTER_UNKNOWN_ORIGIN);
			return;
		}
		switch (this.dispatcher.decideResumption(this.request, this.requestHeaders, origin.origin().service())) {
			case RoutingDecision.Rejected rejected -> reject(rejected.kind(), rejected.retryAfter());
			case RoutingDecision.Accepted accepted ->
				this.started = this.dispatcher.begin(this.caller, this.request, this.requestHeaders, accepted, origin);
		}
	}

	/** Answers a request whose search has not ended at the end of the process. */
	void processEnds() {
		end();
		reject(ErrorKind.STOPPING, RequestRouter.RETRY_AFTER);
	}

	private void end() {
		this.ended = true;
		this.dispatcher.searchEnds(this);
	}

	private void reject(ErrorKind kind, @Nullable Duration retryAfter) {
		this.dispatcher.reject(this.caller, this.requestHeaders, kind, retryAfter);
	}

	@Override
	public void callerDisconnected() {
		end();
		if (this.started != null) {
			this.started.callerDisconnected();
		}
	}

	@Override
	public void callerWritable() {
		if (this.started != null) {
			this.started.callerWritable();
		}
	}

}
