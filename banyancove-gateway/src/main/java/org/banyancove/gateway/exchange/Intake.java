package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.shared.CallerHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Finds a request's route, service and client account.
 */
final class Intake {

	/** Until a configuration is read, or another gateway answers. */
	private static final Duration COME_BACK = Duration.ofMillis(300);

	private final @Nullable Configuration configuration;

	private final TakingPhase phase;

	Intake(@Nullable Configuration configuration, TakingPhase phase) {
		this.configuration = configuration;
		this.phase = phase;
	}

	IntakeDecision decide(@Nullable String host, String uri, CallerHeaders said, double draw) {
		Configuration known = this.configuration;
		if (known == null) {
			return new IntakeDecision.Refused(ErrorKind.PLATFORM_UNREACHABLE, COME_BACK);
		}
		if (host == null || said.requestId() == null) {
			return new IntakeDecision.Refused(ErrorKind.MALFORMED_REQUEST, null);
		}
		Route route = known.route(host, path(uri));
		if (route == null) {
			return new IntakeDecision.Refused(ErrorKind.SERVICE_UNKNOWN, null);
		}
		ClientAccount account = null;
		if (!route.anonymous() && !known.accounts().isEmpty()) {
			account = (said.key() != null) ? known.accountOf(said.key()) : null;
			if (account == null) {
				return new IntakeDecision.Refused(ErrorKind.ACCOUNT_UNKNOWN, null);
			}
		}
		if (!takes(route)) {
			return new IntakeDecision.Refused(ErrorKind.STOPPING, COME_BACK);
		}
		Service service = known.service(route.serviceFor(draw));
		if (service == null) {
			return new IntakeDecision.Refused(ErrorKind.NO_ENDPOINT, COME_BACK);
		}
		return new IntakeDecision.Taken(route, service, account);
	}

	private boolean takes(Route route) {
		return switch (this.phase) {
			case ALL -> true;
			case SHORT_ONES -> route.kind() != RouteKind.STREAMING;
			case NONE -> false;
		};
	}

	private static String path(String uri) {
		int query = uri.indexOf('?');
		return (query < 0) ? uri : uri.substring(0, query);
	}

}
