package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.Service;
import org.jspecify.annotations.Nullable;

/**
 * Whether a request is taken in.
 */
sealed interface RoutingDecision {

	/**
	 * The request goes on.
	 *
	 * @param route its route
	 * @param service the service that runs it
	 * @param account its client account, or {@code null} if it is anonymous
	 */
	record Accepted(Route route, Service service, @Nullable ClientAccount account) implements RoutingDecision {
	}

	/**
	 * The request is answered at once.
	 *
	 * @param kind why
	 * @param retryAfter when the caller may come back, or {@code null}
	 */
	record Rejected(ErrorKind kind, @Nullable Duration retryAfter) implements RoutingDecision {
	}

}
