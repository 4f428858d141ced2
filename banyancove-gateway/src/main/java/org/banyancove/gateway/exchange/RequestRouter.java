package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.shared.CallerHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Resolves the route, service and client account of a request.
 */
final class RequestRouter {

	/**
	 * The retry delay until a configuration has been read, or another gateway takes over.
	 */
	static final Duration RETRY_AFTER = Duration.ofMillis(300);

	private final @Nullable Configuration configuration;

	private final @Nullable Duration availableTime;

	/**
	 * Creates the router.
	 * @param configuration the configuration, or {@code null} if none was read
	 * @param availableTime the time from the arrival of the request until it must have
	 * ended because the process ends, or {@code null} if the process goes on
	 */
	RequestRouter(@Nullable Configuration configuration, @Nullable Duration availableTime) {
		this.configuration = configuration;
		this.availableTime = availableTime;
	}

	RoutingDecision decide(@Nullable String host, String uri, CallerHeaders requestHeaders, double serviceDraw) {
		Configuration current = this.configuration;
		if (current == null) {
			return new RoutingDecision.Rejected(ErrorKind.PLATFORM_UNREACHABLE, RETRY_AFTER);
		}
		if (host == null || requestHeaders.requestId() == null) {
			return new RoutingDecision.Rejected(ErrorKind.MALFORMED_REQUEST, null);
		}
		Route route = current.route(host, path(uri));
		if (route == null) {
			return new RoutingDecision.Rejected(ErrorKind.SERVICE_UNKNOWN, null);
		}
		ClientAccount account = null;
		if (!route.anonymous() && !current.accounts().isEmpty()) {
			account = (requestHeaders.key() != null) ? current.accountForKey(requestHeaders.key()) : null;
			if (account == null) {
				return new RoutingDecision.Rejected(ErrorKind.ACCOUNT_UNKNOWN, null);
			}
		}
		if (!endsInTime(route.timeout(requestHeaders.deadline()))) {
			return new RoutingDecision.Rejected(ErrorKind.STOPPING, RETRY_AFTER);
		}
		Service service = current.service(route.serviceFor(serviceDraw));
		if (service == null) {
			return new RoutingDecision.Rejected(ErrorKind.NO_ENDPOINT, RETRY_AFTER);
		}
		return new RoutingDecision.Accepted(route, service, account);
	}

	/**
	 * Decides on a request that resumes a stream.
	 * @param host its host
	 * @param uri its URI
	 * @param requestHeaders its headers
	 * @param origin the service that began the stream
	 * @return the decision; no other service is accepted
	 */
	RoutingDecision decideResumption(@Nullable String host, String uri, CallerHeaders requestHeaders,
			ServiceName origin) {
		RoutingDecision decision = decide(host, uri, requestHeaders, 0);
		Configuration current = this.configuration;
		if (current == null || !(decision instanceof RoutingDecision.Accepted accepted)) {
			return decision;
		}
		boolean routed = accepted.route().services().stream().anyMatch((each) -> each.service().equals(origin));
		Service service = routed ? current.service(origin) : null;
		return (service != null) ? new RoutingDecision.Accepted(accepted.route(), service, accepted.account())
				: new RoutingDecision.Rejected(ErrorKind.STREAM_VERSION_UNAVAILABLE, RETRY_AFTER);
	}

	private boolean endsInTime(Duration timeout) {
		return this.availableTime == null || timeout.compareTo(this.availableTime) <= 0;
	}

	private static String path(String uri) {
		int query = uri.indexOf('?');
		return (query < 0) ? uri : uri.substring(0, query);
	}

}
