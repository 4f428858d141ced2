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
sealed interface IntakeDecision {

	/**
	 * The request goes on.
	 *
	 * @param route its route
	 * @param service the service that runs it
	 * @param account its client account, or {@code null} if it is anonymous
	 */
	record Taken(Route route, Service service, @Nullable ClientAccount account) implements IntakeDecision {
	}

	/**
	 * The request is answered at once.
	 *
	 * @param kind why
	 * @param comeBack when the caller may come back, or {@code null}
	 */
	record Refused(ErrorKind kind, @Nullable Duration comeBack) implements IntakeDecision {
	}

}
