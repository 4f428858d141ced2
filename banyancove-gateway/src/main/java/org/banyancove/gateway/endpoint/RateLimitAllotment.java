package org.banyancove.gateway.endpoint;

import java.util.Collection;
import java.util.List;

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

	private List<String> others = List.of();

	/**
	 * Creates the allotment of a gateway that knows no other one.
	 * @param own the gateway's name
	 */
	public RateLimitAllotment(String own) {
		this.own = own;
	}

	/**
	 * Records which gateways there are.
	 * @param names the names of all gateways
	 */
	public void gateways(Collection<String> names) {
		this.others = names.stream().filter((name) -> !name.equals(this.own)).toList();
	}

	/**
	 * Returns this gateway's share of a limit.
	 * @param endpoint the endpoint that names it
	 * @param requestsPerSecond the limit
	 * @param rotation changes which gateways have a share
	 * @return the requests a second, 0 if this gateway has no share
	 */
	double share(EndpointId endpoint, double requestsPerSecond, long rotation) {
		int senders = (int) Math.min(this.others.size() + 1.0, MINIMUM_SENDERS + Math.floor(requestsPerSecond));
		long key = endpoint.value().hashCode() + rotation;
		long ownWeight = RendezvousHash.weight(key, this.own);
		long before = this.others.stream().filter((name) -> RendezvousHash.weight(key, name) > ownWeight).count();
		return (before < senders) ? requestsPerSecond / senders : 0;
	}

}
