package org.banyancove.gateway.endpoint;

import java.util.Collection;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The endpoints that rank highest for the shared prefix of a prompt, by rendezvous
 * hashing of its last part. All gateways compute the same ranking.
 *
 * @param owner the endpoint that prefills the prefix, or {@code null} if there is none
 * @param firstSource the highest-ranked endpoint that the prefix may be copied from, or
 * {@code null}
 * @param secondSource the next one, or {@code null}
 */
record PrefixRanking(@Nullable Endpoint owner, @Nullable Endpoint firstSource, @Nullable Endpoint secondSource) {

	private static final PrefixRanking NONE = new PrefixRanking(null, null, null);

	/**
	 * Ranks endpoints in one pass. Of equally weighted endpoints, the first one ranks
	 * higher. The conditions are tested only of endpoints whose weight matters.
	 * @param endpoints the endpoints
	 * @param prompt the prompt
	 * @param requestClass the class of the request, whose endpoints own its prefix if one
	 * is available, or {@code null} if the endpoints are not divided
	 * @param eligibleSource tells whether a prefix may be copied from an endpoint
	 * @return the ranking
	 */
	static PrefixRanking of(Collection<Endpoint> endpoints, Prompt prompt, @Nullable RequestClass requestClass,
			Predicate<Endpoint> eligibleSource) {
		long key = prompt.lastSharedPartId();
		if (key == 0) {
			return NONE;
		}
		Highest preferred = new Highest();
		Highest available = new Highest();
		Highest first = new Highest();
		Highest second = new Highest();
		for (Endpoint endpoint : endpoints) {
			long weight = RendezvousHash.weight(key, endpoint.id().value());
			if (available.isExceededBy(weight) && !endpoint.draining()) {
				available.set(endpoint, weight);
			}
			if (requestClass != null && preferred.isExceededBy(weight) && !endpoint.draining()
					&& !isPreferredByOthers(endpoint, requestClass)) {
				preferred.set(endpoint, weight);
			}
			if (second.isExceededBy(weight) && eligibleSource.test(endpoint)) {
				if (first.isExceededBy(weight)) {
					second.set(first);
					first.set(endpoint, weight);
				}
				else {
					second.set(endpoint, weight);
				}
			}
		}
		Endpoint owner = (preferred.endpoint != null) ? preferred.endpoint : available.endpoint;
		return new PrefixRanking(owner, first.endpoint, second.endpoint);
	}

	/**
	 * Returns whether requests of the other class prefer an endpoint.
	 * @param endpoint the endpoint
	 * @param requestClass the class of a request
	 * @return whether the request only spills over to the endpoint
	 */
	static boolean isPreferredByOthers(Endpoint endpoint, RequestClass requestClass) {
		return endpoint.partition().preferredBy(endpoint.id()) != requestClass;
	}

	/**
	 * Returns the endpoint that another one may copy the prefix from.
	 * @param endpoint the endpoint that needs the prefix
	 * @return the highest-ranked source other than itself, or {@code null}
	 */
	@Nullable Endpoint sourceFor(Endpoint endpoint) {
		return (endpoint != this.firstSource) ? this.firstSource : this.secondSource;
	}

	/**
	 * The endpoint with the highest weight so far.
	 */
	private static final class Highest {

		private @Nullable Endpoint endpoint;

		private long weight;

		boolean isExceededBy(long newWeight) {
			return this.endpoint == null || newWeight > this.weight;
		}

		void set(@Nullable Endpoint newEndpoint, long newWeight) {
			this.endpoint = newEndpoint;
			this.weight = newWeight;
		}

		void set(Highest other) {
			set(other.endpoint, other.weight);
		}

	}

}
