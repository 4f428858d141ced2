package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.Prompt;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints that the next attempt of a request may be sent to.
 */
final class EligibleEndpoints {

	private final RequestDispatcher dispatcher;

	private final Route route;

	private final Service service;

	private final Prompt prompt;

	private final StreamContinuation continuation;

	private final RequestRetries retries;

	private final Set<EndpointId> tried = new HashSet<>();

	private final double versionDraw;

	/**
	 * Creates the endpoints of a request that has not been sent to any.
	 * @param dispatcher holds what the requests share
	 * @param accepted the route and service of the request
	 * @param prompt its prompt
	 * @param continuation the version that it is bound to
	 * @param retries its attempts
	 */
	EligibleEndpoints(RequestDispatcher dispatcher, RoutingDecision.Accepted accepted, Prompt prompt,
			StreamContinuation continuation, RequestRetries retries) {
		this.dispatcher = dispatcher;
		this.route = accepted.route();
		this.service = accepted.service();
		this.prompt = prompt;
		this.continuation = continuation;
		this.retries = retries;
		this.versionDraw = dispatcher.nextRandom();
	}

	void recordTried(EndpointId endpoint) {
		this.tried.add(endpoint);
	}

	void forgetTried() {
		this.tried.clear();
	}

	/**
	 * Returns the endpoints. Retries go to a version that has proved stable.
	 * @return the endpoints, including draining ones and those that were tried
	 */
	List<Endpoint> all() {
		if (this.continuation.isBound()) {
			return this.continuation.eligible(now());
		}
		boolean boundToEndpoint = this.route.kind() == RouteKind.STREAMING && !this.route.resumable();
		return (this.retries.attempts() == 0)
				? this.dispatcher.endpoints().forRequest(this.service.name(), boundToEndpoint, this.versionDraw, now())
				: this.dispatcher.endpoints().stableEndpoints(this.service.name(), now());
	}

	/**
	 * Chooses an endpoint.
	 * @return the placement, or {@code null} if none is available
	 */
	@Nullable Placement choose() {
		List<Endpoint> eligible = all();
		Placement placement = choose(eligible, this.tried);
		// The endpoint that broke off may be the last one of its version.
		return (placement == null && this.continuation.isBound()) ? choose(eligible, Set.of()) : placement;
	}

	private @Nullable Placement choose(List<Endpoint> eligible, Set<EndpointId> excluded) {
		return this.dispatcher.choosePlacement(this.service, eligible, this.prompt, this.route.latencyTarget(),
				excluded);
	}

	/**
	 * Chooses an endpoint for a request that waits.
	 * @return the placement, or {@code null} if none is available
	 */
	@Nullable Placement chooseAgain() {
		List<Endpoint> eligible = all();
		return this.dispatcher.placement()
			.find(eligible, this.prompt, this.route.latencyTarget(),
					this.dispatcher.unavailable(this.service, eligible, this.tried), now());
	}

	/**
	 * Returns the time after which a request is accepted, if the endpoints limit it.
	 * @return the time, or {@code null} if an endpoint accepts it now or none is
	 * available
	 */
	@Nullable Duration retryAfter() {
		return this.dispatcher.placement().retryAfter(all(), this.tried, now());
	}

	/**
	 * Returns the same for the caller's next request, which may be sent to the endpoints
	 * that this one was sent to.
	 * @return the time, or {@code null} if an endpoint accepts it now or none is
	 * available
	 */
	@Nullable Duration retryAfterNext() {
		return this.dispatcher.placement().retryAfter(all(), Set.of(), now());
	}

	/**
	 * Returns the time after which a caller may retry if all endpoints failed lately.
	 * @param wait the time for which this request can wait
	 * @return the time, or {@code null} if an endpoint may get a request within that time
	 */
	@Nullable Duration retryAfterBackoff(Duration wait) {
		return this.dispatcher.placement().retryAfterBackoff(all(), wait, now());
	}

	private long now() {
		return this.dispatcher.clock().nanos();
	}

}
