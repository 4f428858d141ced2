package org.banyancove.gateway.endpoint;

import java.util.Collection;
import java.util.function.Supplier;

import org.banyancove.core.EndpointId;

/**
 * Allots the rate limits that endpoints name for all gateways together.
 * <p>
 * Shared among all gateways, a limit of a few requests a second would be exceeded as soon
 * as each of them sends one. It is allotted to a few gateways, which every gateway ranks
 * alike by rendezvous hashing, so that no agreement is needed; other endpoints have other
 * ones.
 */
public final class RateLimitAllotment {

	/** Gateways to which a limit is allotted at least: one of them may be down. */
	private static final int MINIMUM_SENDERS = 2;

	private final String own;

	private final Supplier<? extends Collection<String>> gateways;

	/**
	 * Creates the allotment.
	 * @param own the gateway's name
	 * @param gateways returns the names of all gateways, this one's included
	 */
	public RateLimitAllotment(String own, Supplier<? extends Collection<String>> gateways) {
		this.own = own;
		this.gateways = gateways;
	}

	/**
	 * Returns this gateway's share of a limit.
	 * @param endpoint the endpoint that names it
	 * @param requestsPerSecond the limit
	 * @param rotation changes which gateways have a share
	 * @return the requests a second, 0 if this gateway has no share
	 */
	double share(EndpointId endpoint, double requestsPerSecond, long rotation) {
		Collection<String> names = this.gateways.get();
		int senders = (int) Math.min(names.size(), MINIMUM_SENDERS + Math.floor(requestsPerSecond));
		long key = endpoint.value().hashCode() + rotation;
		long ownWeight = RendezvousHash.weight(key, this.own);
		long before = names.stream().filter((name) -> RendezvousHash.weight(key, name) > ownWeight).count();
		return (before < senders) ? requestsPerSecond / senders : 0;
	}

}
