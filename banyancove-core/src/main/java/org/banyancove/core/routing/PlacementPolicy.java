package org.banyancove.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * Strategy for choosing among the endpoints of a service.
 * <p>
 * Not thread-safe: a policy may keep state between choices.
 */
sealed interface PlacementPolicy permits CostAtTargetPolicy, RoundRobinPolicy, LeastInFlightPolicy, TwoChoicesPolicy {

	/**
	 * Chooses an endpoint.
	 * @param request the request to place
	 * @param endpoints the service's endpoints
	 * @param now the current time in seconds
	 * @return the choice, or {@code null} if no endpoint is eligible
	 */
	@Nullable Choice choose(PlacementRequest request, ServiceEndpoints endpoints, double now);

}
