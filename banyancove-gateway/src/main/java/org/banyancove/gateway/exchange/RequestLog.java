package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.migration.MoveOutcome;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.tunnel.TunnelListener;
import org.jspecify.annotations.Nullable;

/**
 * Receives the outcomes of requests.
 */
public interface RequestLog extends TunnelListener, FramingListener {

	/**
	 * Called when a request was rejected without an attempt at an endpoint.
	 * @param request the rejected request
	 */
	void rejected(RejectedRequest request);

	/**
	 * Called when a caller's connection was closed before a request was read, since the
	 * gateway is overloaded.
	 */
	void connectionClosedUnread();

	/**
	 * Called when an attempt at an endpoint failed, or the endpoint rejected the request.
	 * @param attempt the attempt
	 * @param reason the reason
	 */
	void attemptFailed(FailedAttempt attempt, String reason);

	/**
	 * Called when the retry budget has granted or refused a retry.
	 * @param retry the decision
	 */
	void retryDecided(RetryDecision retry);

	/**
	 * Called when a request has ended.
	 * @param request the request
	 */
	void ended(EndedRequest request);

	/**
	 * Called when the origin of a stream that a caller resumes was searched for.
	 * @param requestId the id of the request that resumes the stream, or {@code null}
	 * @param resumedRequestId the id that it names, or {@code null} if it names none
	 * @param origin the origin, or {@code null} if it is unknown
	 * @param elapsed the time since the request's arrival
	 */
	void streamOriginSearched(@Nullable String requestId, @Nullable String resumedRequestId,
			@Nullable KnownOrigin origin, Duration elapsed);

	/**
	 * Called when a response was discarded that does not belong to the request whose
	 * response was expected.
	 * @param requestId the request whose response was expected
	 * @param endpoint the endpoint
	 * @param statedRequestId the request that the response names, or {@code null} if it
	 * names none
	 * @param status the response's status
	 */
	void responseDiscarded(String requestId, EndpointId endpoint, @Nullable String statedRequestId, int status);

	/**
	 * Called when the move of a stream off an endpoint that leaves has ended.
	 * @param move the move
	 */
	void streamMoveEnded(EndedMove move);

	/**
	 * Called when an endpoint has changed its rate limit.
	 * @param endpoint the endpoint
	 * @param requestsPerSecond the new limit, or {@code null} if there is none any more
	 */
	void rateLimitChanged(EndpointId endpoint, @Nullable Double requestsPerSecond);

	/**
	 * Called when an endpoint has stated in an answer that it is shutting down.
	 * @param endpoint the endpoint
	 */
	void shutdownAnnounced(EndpointId endpoint);

	/**
	 * Called when an endpoint has asked this gateway for a pause.
	 * @param endpoint the endpoint
	 * @param duration the time for which to send no requests
	 */
	void pauseRequested(EndpointId endpoint, Duration duration);

	/**
	 * Called when the endpoints of a service begin to announce how many rejections they
	 * bear.
	 * @param endpoint the endpoint that announced it first
	 * @param rejectionsPerSecond the rejections in a second beyond which it may fail
	 */
	void rejectionLimitAnnounced(EndpointId endpoint, double rejectionsPerSecond);

	/**
	 * Called when the header in which an endpoint states its load cannot be read.
	 * @param endpoint the endpoint
	 * @param header the header's value
	 */
	void loadUnreadable(EndpointId endpoint, String header);

	/**
	 * A rejected request.
	 *
	 * @param requestId the request id, or {@code null} if the request has none
	 * @param kind the error that was reported
	 * @param retryAfter the delay after which the caller may retry, or {@code null}
	 * @param account the client account, or {@code null} if it is unknown
	 * @param quotaAvailable the remaining quota of the account, negative if it is
	 * overdrawn, or {@code null} if the quota was not checked
	 * @param version the configuration version
	 */
	record RejectedRequest(@Nullable String requestId, ErrorKind kind, @Nullable Duration retryAfter,
			@Nullable AccountName account, @Nullable Long quotaAvailable, long version) {
	}

	/**
	 * An attempt at an endpoint.
	 *
	 * @param requestId the request id
	 * @param endpoint the endpoint
	 * @param endpointVersion the endpoint's software version when the request was sent
	 * @param number the attempt number, starting at 1 for each request
	 * @param predictedMillis the predicted response time, in ms
	 * @param elapsed the time since the request was sent
	 * @param lost what the endpoint had of the request when it ended the connection, or
	 * {@code null} if it did not end it
	 * @param retryAfter the time for which the endpoint asked for no further requests, or
	 * {@code null}
	 */
	record FailedAttempt(String requestId, String endpoint, String endpointVersion, int number, double predictedMillis,
			Duration elapsed, @Nullable LostRequest lost, @Nullable Duration retryAfter) {

		FailedAttempt withLost(LostRequest known) {
			return new FailedAttempt(this.requestId, this.endpoint, this.endpointVersion, this.number,
					this.predictedMillis, this.elapsed, known, this.retryAfter);
		}

	}

	/**
	 * A request whose connection the endpoint ended.
	 *
	 * @param fingerprint the fingerprint that copies of the request have in common
	 * @param sharedParts the identifiers of the parts of its prompt that other requests
	 * may share
	 * @param begun whether an event of the response had been received
	 */
	record LostRequest(Fingerprint fingerprint, List<Long> sharedParts, boolean begun) {
	}

	/**
	 * A decision of the retry budget.
	 *
	 * @param requestId the request id
	 * @param service the service of the request, whose budget decided
	 * @param granted whether the request may be sent once more
	 * @param available the retries that were available before the decision
	 * @param grantedTotal the retries granted for the service since the process started,
	 * including this one
	 * @param fleetSize the number of gateways that share the burst, 0 if it is unknown
	 * @param fleetSizeAge the time for which the gateway has known that number
	 */
	record RetryDecision(String requestId, ServiceName service, boolean granted, int available, long grantedTotal,
			int fleetSize, Duration fleetSizeAge) {
	}

	/**
	 * A request that has ended.
	 *
	 * @param requestId the request id
	 * @param route the route
	 * @param outcome the outcome
	 * @param status the status sent to the caller; 0 if the connection was closed
	 * @param endpoint the last endpoint, or {@code null} if the request was not sent
	 * @param endpointVersion its software version when the request was sent
	 * @param resumedRequestId the request whose stream this one resumed, or {@code null}
	 * @param attempts the number of attempts
	 * @param connectionCalls the requests that were sent on the last attempt's connection
	 * up to its own; 0 if none was
	 * @param discardedResponses the responses to other requests that preceded the last
	 * attempt's
	 * @param timeToFirstByte the time from arrival to the first byte of the response, or
	 * {@code null}
	 * @param elapsed the time since arrival
	 * @param version the configuration version under which the request was accepted
	 */
	record EndedRequest(String requestId, String route, String outcome, int status, @Nullable String endpoint,
			@Nullable String endpointVersion, @Nullable String resumedRequestId, int attempts, int connectionCalls,
			int discardedResponses, @Nullable Duration timeToFirstByte, Duration elapsed, long version) {
	}

	/**
	 * The move of a stream that has ended.
	 *
	 * @param requestId the request id
	 * @param outcome the outcome
	 * @param source the endpoint that leaves
	 * @param destination the endpoint chosen as the destination, or {@code null} if none
	 * was available
	 * @param forwardedEvents the events of the stream forwarded so far
	 * @param elapsed the time since the source was asked for the move
	 */
	record EndedMove(String requestId, MoveOutcome outcome, EndpointId source, @Nullable EndpointId destination,
			int forwardedEvents, Duration elapsed) {
	}

}
