package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.Service;
import org.jspecify.annotations.Nullable;

/**
 * The decision to accept or reject a request.
 */
sealed interface RoutingDecision {

	/**
	 * The request is accepted.
	 *
	 * @param route the route
	 * @param service the service that runs the request
	 * @param account the client account, or {@code null} if the request is anonymous
	 */
	record Accepted(Route route, Service service, @Nullable ClientAccount account) implements RoutingDecision {
	}

	/**
	 * The request is rejected.
	 *
	 * @param kind the error to report
	 * @param retryAfter the delay after which the caller may retry, or {@code null}
	 */
	record Rejected(ErrorKind kind, @Nullable Duration retryAfter) implements RoutingDecision {
	}

}
