package org.banyancove.gateway.shared;

import org.banyancove.gateway.endpoint.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * What an endpoint reports beside an answer.
 *
 * @param requestId the request that it answers, or {@code null} if it is not stated
 * @param sealed whether the answer carries the endpoint's own seal
 * @param notRun whether it states that the request was not run
 * @param load its load, or {@code null} if it is not stated
 * @param rateLimit the requests a second that it accepts from all gateways together, or
 * {@code null} if it names no limit
 */
public record EndpointHeaders(@Nullable String requestId, boolean sealed, boolean notRun, @Nullable LoadReport load,
		@Nullable Double rateLimit) {
}
