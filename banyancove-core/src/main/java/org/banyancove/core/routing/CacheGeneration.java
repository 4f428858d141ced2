package org.banyancove.core.routing;

/**
 * A generation of an endpoint's cache: a restarted process starts with an empty cache.
 * All cached prefixes share one object, so that each index entry takes only a reference.
 */
final class CacheGeneration {

	private final Endpoint endpoint;

	CacheGeneration(Endpoint endpoint) {
		this.endpoint = endpoint;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	boolean isCurrent() {
		return this.endpoint.cacheGeneration() == this;
	}

}
