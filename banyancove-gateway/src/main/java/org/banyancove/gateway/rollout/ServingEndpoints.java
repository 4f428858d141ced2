package org.banyancove.gateway.rollout;

import java.util.Collection;
import java.util.List;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointTable;

/**
 * The endpoints that serve, by the versions that rollouts let them.
 */
public final class ServingEndpoints {

	/** No draw is as high, so that a request is kept off a candidate. */
	private static final double BASELINE_ONLY = 1;

	private final EndpointTable endpoints;

	private final RolloutTable rollouts;

	private final VersionFilter filter;

	/**
	 * Creates the endpoints.
	 * @param endpoints all endpoints
	 * @param rollouts what is known of rollouts
	 */
	public ServingEndpoints(EndpointTable endpoints, RolloutTable rollouts) {
		this.endpoints = endpoints;
		this.rollouts = rollouts;
		this.filter = new VersionFilter(rollouts);
	}

	/**
	 * Returns the endpoints that may serve a request.
	 * @param service its service
	 * @param endsWithBaseline whether it is a stream that is lost if its endpoint stops
	 * @param draw a random number from 0 to 1
	 * @param now the present time
	 * @return the endpoints, those that are leaving included
	 */
	public List<Endpoint> forRequest(ServiceName service, boolean endsWithBaseline, double draw, long now) {
		VersionChoice choice = this.rollouts.choose(service, endsWithBaseline, draw, now);
		return this.filter.eligible(service, this.endpoints.listed(service), choice);
	}

	/**
	 * Returns the endpoints that serve without a candidate that is not proven.
	 * @param service the service
	 * @param now the present time
	 * @return the endpoints
	 */
	public List<Endpoint> serving(ServiceName service, long now) {
		return forRequest(service, false, BASELINE_ONLY, now);
	}

	/**
	 * Returns whether an endpoint accepts requests.
	 * @param endpoint the endpoint
	 * @return whether it is still listed and not draining
	 */
	public boolean accepts(Endpoint endpoint) {
		return this.endpoints.get(endpoint.id()) == endpoint && !endpoint.entry().draining();
	}

	/**
	 * Returns whether a rollout is replacing a service's endpoints.
	 * @param service the service
	 * @return whether one is in progress
	 */
	public boolean changing(ServiceName service) {
		return this.rollouts.inProgress(service);
	}

	/**
	 * Records which versions are listed.
	 * @param services the services
	 */
	public void noteVersions(Collection<ServiceName> services) {
		services.forEach((service) -> this.filter.listed(service, this.endpoints.listed(service)));
	}

	/**
	 * Returns what is known of rollouts.
	 * @return the table
	 */
	public RolloutTable rollouts() {
		return this.rollouts;
	}

}
