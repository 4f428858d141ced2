package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Tells what became of requests.
 */
public interface RequestLog {

	/**
	 * Tells of a request that was answered before it was sent on.
	 * @param facts what decided it
	 */
	void rejected(RejectionFacts facts);

	/**
	 * Tells of an attempt at an endpoint that did not bring the answer.
	 * @param attempt the attempt
	 * @param reason why not
	 */
	void attemptFailed(AttemptFacts attempt, String reason);

	/**
	 * Tells how a request ended.
	 * @param facts what decided it
	 */
	void ended(RequestFacts facts);

	/**
	 * Tells that an endpoint named another rate limit than before.
	 * @param endpoint the endpoint
	 * @param requestsPerSecond the limit, or {@code null} if it has ended
	 */
	void rateLimitChanged(EndpointId endpoint, @Nullable Double requestsPerSecond);

	/**
	 * A refusal.
	 *
	 * @param requestId the request, or {@code null} if it has no identifier
	 * @param kind why
	 * @param retryAfter when the caller may come back, or {@code null}
	 * @param account the client account, or {@code null} if it is not known
	 * @param quotaAvailable what was left of the account's quota, negative if it is
	 * overdrawn, or {@code null} if it was not asked
	 * @param version the configuration's version
	 */
	record RejectionFacts(@Nullable String requestId, ErrorKind kind, @Nullable Duration retryAfter,
			@Nullable AccountName account, @Nullable Long quotaAvailable, long version) {
	}

	/**
	 * An attempt at an endpoint.
	 *
	 * @param requestId the request
	 * @param endpoint the endpoint
	 * @param number 1 for the request's first attempt
	 * @param predictedMillis the predicted time to its answer, in ms
	 * @param elapsed since it was sent
	 */
	record AttemptFacts(String requestId, String endpoint, int number, double predictedMillis, Duration elapsed) {
	}

	/**
	 * The end of a request.
	 *
	 * @param requestId the request
	 * @param route its route
	 * @param outcome how it ended
	 * @param status the status that the caller got; 0 if its connection was closed
	 * @param endpoint the last endpoint, or {@code null} if it was not sent
	 * @param attempts how many endpoints it was sent to
	 * @param untilFirst from its arrival to the first byte of its answer, or {@code null}
	 * @param elapsed since its arrival
	 * @param version the version of the configuration it was taken under
	 */
	record RequestFacts(String requestId, String route, String outcome, int status, @Nullable String endpoint,
			int attempts, @Nullable Duration untilFirst, Duration elapsed, long version) {
	}

}
