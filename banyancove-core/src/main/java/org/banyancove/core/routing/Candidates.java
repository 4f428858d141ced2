package org.banyancove.core.routing;

import java.util.Set;

import org.banyancove.core.EndpointId;

/**
 * The candidate endpoints of a placement, with the estimated number of prompt tokens that
 * each has cached. One instance is shared by all policies and reused by each placement.
 * Endpoints are stamped when they are added, to detect duplicates without a search.
 */
final class Candidates {

	static final int MAXIMUM_SIZE = 64;

	private final Endpoint[] endpoints = new Endpoint[MAXIMUM_SIZE];

	private final double[] cachedTokens = new double[MAXIMUM_SIZE];

	private Set<EndpointId> excluded = Set.of();

	private int size;

	private long stamp;

	void clear(Set<EndpointId> newExcluded) {
		this.excluded = newExcluded;
		this.size = 0;
		this.stamp++;
	}

	/**
	 * Adds an endpoint unless it is not live, excluded or already present.
	 * @param endpoint the endpoint
	 * @param cached the estimated number of prompt tokens that it has cached
	 */
	void add(Endpoint endpoint, double cached) {
		if (isFull() || !endpoint.isLive() || this.excluded.contains(endpoint.id()) || !endpoint.stamp(this.stamp)) {
			return;
		}
		this.endpoints[this.size] = endpoint;
		this.cachedTokens[this.size] = cached;
		this.size++;
	}

	boolean isFull() {
		return this.size == MAXIMUM_SIZE;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size() {
		return this.size;
	}

	Endpoint endpoint(int index) {
		return this.endpoints[index];
	}

	double cachedTokens(int index) {
		return this.cachedTokens[index];
	}

}
