package org.banyancove.gateway.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints whose versions may serve requests according to the rollouts.
 */
public final class ServingEndpoints {

	/** Random value that no candidate weight exceeds, which excludes a candidate. */
	private static final double EXCLUDE_CANDIDATE = 1;

	private final EndpointTable endpoints;

	private final RolloutTable rollouts;

	private final VersionFilter filter;

	/**
	 * Creates the endpoints of a gateway.
	 * @param endpoints all endpoints
	 * @param rollouts the state of the rollouts
	 */
	public ServingEndpoints(EndpointTable endpoints, RolloutTable rollouts) {
		this.endpoints = endpoints;
		this.rollouts = rollouts;
		this.filter = new VersionFilter(rollouts);
	}

	/**
	 * Returns the endpoints that may serve a request.
	 * @param service its service
	 * @param nonResumable whether it is a stream that cannot be resumed when its endpoint
	 * stops
	 * @param randomValue a random number from 0 to 1
	 * @param now the current time
	 * @return the endpoints, including draining ones
	 */
	public List<Endpoint> forRequest(ServiceName service, boolean nonResumable, double randomValue, long now) {
		VersionChoice choice = this.rollouts.choose(service, nonResumable, randomValue, now);
		return this.filter.eligible(service, this.endpoints.endpointsOf(service), choice, now);
	}

	/**
	 * Returns the serving endpoints, excluding a candidate whose rollout is not
	 * completed.
	 * @param service the service
	 * @param now the current time
	 * @return the endpoints
	 */
	public List<Endpoint> stableEndpoints(ServiceName service, long now) {
		return forRequest(service, false, EXCLUDE_CANDIDATE, now);
	}

	/**
	 * Returns the endpoints that may serve the rest of a stream.
	 * @param service its service
	 * @param version the version that began the stream; empty if unknown
	 * @param now the current time
	 * @return the endpoints of that version, including draining ones; empty if the
	 * version is unknown or a rollout withholds requests from it
	 */
	public List<Endpoint> ofVersion(ServiceName service, String version, long now) {
		if (version.isEmpty() || this.rollouts.withholds(service, version, now)) {
			return List.of();
		}
		return this.filter.ofVersion(service, this.endpoints.endpointsOf(service), version, now);
	}

	/**
	 * Returns the entry of an endpoint.
	 * @param endpoint the endpoint's identifier
	 * @return the entry, or {@code null} if it is not listed
	 */
	public @Nullable EndpointEntry entry(EndpointId endpoint) {
		Endpoint listed = this.endpoints.get(endpoint);
		return (listed != null) ? listed.entry() : null;
	}

	/**
	 * Returns the versions of a service's endpoints.
	 * @param service the service
	 * @return the listed versions, including those of draining endpoints
	 */
	public Set<String> versions(ServiceName service) {
		return this.endpoints.endpointsOf(service)
			.stream()
			.map((endpoint) -> endpoint.entry().version())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the number of endpoints of a service.
	 * @param service the service
	 * @return the number, including draining endpoints and those of all versions
	 */
	public int count(ServiceName service) {
		return this.endpoints.endpointsOf(service).size();
	}

	/**
	 * Returns whether an endpoint accepts requests.
	 * @param endpoint the endpoint
	 * @return {@code true} if it is still listed and not draining
	 */
	public boolean accepts(Endpoint endpoint) {
		return this.endpoints.get(endpoint.id()) == endpoint && !endpoint.draining();
	}

	/**
	 * Returns whether a rollout of a service is in progress.
	 * @param service the service
	 * @return {@code true} if its endpoints are being replaced
	 */
	public boolean rolloutInProgress(ServiceName service) {
		return this.rollouts.inProgress(service);
	}

	/**
	 * Records the listed versions of services.
	 * @param services the services
	 * @param now the current time
	 */
	public void recordVersions(Collection<ServiceName> services, long now) {
		services.forEach((service) -> this.filter.recordVersions(service, this.endpoints.endpointsOf(service), now));
	}

	/**
	 * Returns the state of the rollouts.
	 * @return the rollout table
	 */
	public RolloutTable rollouts() {
		return this.rollouts;
	}

}
