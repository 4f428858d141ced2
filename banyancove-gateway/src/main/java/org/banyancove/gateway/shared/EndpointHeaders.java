package org.banyancove.gateway.shared;

import java.time.Duration;

import org.banyancove.gateway.endpoint.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * The response metadata that an endpoint sends in headers.
 *
 * @param requestId the id of the request, or {@code null} if it is not stated
 * @param contradictory whether the response states several request ids or seals, of which
 * at most one is its own
 * @param sealed whether the response has the seal that shows that the endpoint itself
 * produced it
 * @param notRun whether the endpoint states that the request was not run
 * @param load the load of the endpoint, or {@code null} if it is not stated or unreadable
 * @param unreadableLoad the header that states the load, or {@code null} unless it cannot
 * be read
 * @param rateLimit the requests per second that the endpoint accepts from all gateways
 * together, or {@code null} if there is no limit
 * @param retryAfter the time for which the endpoint asks this gateway for no further
 * requests, or {@code null} if it is not stated
 * @param leaving whether the endpoint states that it is shutting down
 * @param toleratedRejections the rejections in a second, for want of room, beyond which
 * the endpoint may fail, or {@code null} if it is not stated
 */
public record EndpointHeaders(@Nullable String requestId, boolean contradictory, boolean sealed, boolean notRun,
		@Nullable LoadReport load, @Nullable String unreadableLoad, @Nullable Double rateLimit,
		@Nullable Duration retryAfter, boolean leaving, @Nullable Double toleratedRejections) {
}
