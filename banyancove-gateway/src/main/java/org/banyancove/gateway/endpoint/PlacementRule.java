package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Chooses an endpoint: the one that is predicted to answer soonest, weighed by how often
 * it fails and by the prompt parts that it would prefill although another holds them.
 * <p>
 * Sessions come back with a long shared prompt, to several gateways that don't report to
 * each other what they sent. All of them rank the endpoints of a session alike
 * (rendezvous hashing of the last shared part), so its parts are prefilled at the owner.
 * Where the owner is busy, or has just started, the endpoint that gets the request copies
 * the parts from the one that ranks highest of the others.
 */
public final class PlacementRule {

	/**
	 * What a shared token costs that is not held, beside the time until the answer, in
	 * ms: prefilled again it delays the other requests of the batch, copied it takes
	 * memory from other prefixes, and both are paid for.
	 */
	private static final double PREFIX_MISS_PENALTY = 0.05;

	/** What starting a copy takes, in ms; shorter prefixes are prefilled sooner. */
	private static final double COPY_SETUP_MILLIS = 3;

	/**
	 * Share of failures above which an endpoint is not copied from: a request that waits
	 * for an endpoint that is gone is late.
	 */
	private static final double UNRELIABLE_FAILURE_RATE = 0.3;

	/**
	 * The time that a failure costs, in ms: a client comes back or gives up after about
	 * so long.
	 */
	private static final double FAILURE_MILLIS = 1500;

	/** The time that another data centre costs, in ms: the hop there and back. */
	private static final double CROSS_DATA_CENTER_MILLIS = 3;

	/**
	 * The time that an endpoint in a data centre costs whose gateways became unreachable,
	 * in ms. The data centre may be cut off, and a request sent there would wait until
	 * its end; as long as a failure, so that it is used where nothing else is left.
	 */
	private static final double UNREACHABLE_DATA_CENTER_MILLIS = FAILURE_MILLIS;

	private final DataCenterName dataCenter;

	private Set<DataCenterName> unreachable = Set.of();

	/**
	 * Creates the rule.
	 * @param dataCenter the gateway's own data centre
	 */
	public PlacementRule(DataCenterName dataCenter) {
		this.dataCenter = dataCenter;
	}

	/**
	 * Records which data centres may be cut off from here.
	 * @param dataCenters the data centres
	 */
	public void unreachable(Set<DataCenterName> dataCenters) {
		this.unreachable = Set.copyOf(dataCenters);
	}

	/**
	 * Chooses an endpoint for a request.
	 * @param endpoints the service's endpoints
	 * @param prompt the request's prompt
	 * @param tried the endpoints that it has been sent to
	 * @param now the present time
	 * @return the choice, or {@code null} if there is none
	 */
	public @Nullable Placement choose(Collection<Endpoint> endpoints, Prompt prompt, Set<EndpointId> tried, long now) {
		Endpoint owner = highestRanked(endpoints, prompt, (endpoint) -> !endpoint.entry().draining());
		Endpoint holder = highestRanked(endpoints, prompt, (endpoint) -> copiable(endpoint, now));
		Endpoint nextHolder = highestRanked(endpoints, prompt,
				(endpoint) -> endpoint != holder && copiable(endpoint, now));
		Choice best = null;
		for (Endpoint candidate : endpoints) {
			if (!available(candidate, tried, now) || !candidate.rateLimiter().permits(now)) {
				continue;
			}
			Endpoint source = (candidate != holder) ? holder : nextHolder;
			Choice choice = weigh(candidate, owner, source, prompt, now);
			if (best == null || choice.cost() < best.cost()) {
				best = choice;
			}
		}
		return (best != null) ? best.placement() : null;
	}

	private static boolean available(Endpoint candidate, Set<EndpointId> tried, long now) {
		return !tried.contains(candidate.id()) && !candidate.entry().draining() && !candidate.paused(now);
	}

	/**
	 * Returns when a request may be retried that no endpoint accepts because of the rate
	 * limits that they name.
	 * @param endpoints the service's endpoints
	 * @param tried the endpoints that it has been sent to
	 * @param now the present time
	 * @return the time until then, or {@code null} if there is an endpoint without a
	 * limit or none at all
	 */
	public @Nullable Duration rateLimitedFor(Collection<Endpoint> endpoints, Set<EndpointId> tried, long now) {
		Duration soonest = null;
		for (Endpoint candidate : endpoints) {
			if (!available(candidate, tried, now)) {
				continue;
			}
			Duration wait = candidate.rateLimiter().retryAfter(now);
			if (wait.isZero()) {
				return null;
			}
			soonest = (soonest == null || wait.compareTo(soonest) < 0) ? wait : soonest;
		}
		return soonest;
	}

	private Choice weigh(Endpoint candidate, @Nullable Endpoint owner, @Nullable Endpoint source, Prompt prompt,
			long now) {
		int missing = candidate.missingPrefix(prompt);
		boolean copies = source != null && copyPays(candidate, missing);
		// The other gateways send a session's requests to its owner as well, so that it
		// holds the prefix though this one may not have sent it yet.
		boolean held = copies || candidate == owner;
		int prefillTokens = candidate.uncachedTokens(prompt) - (held ? missing : 0);
		double predicted = candidate.predictedMillis(prompt, prefillTokens, now);
		if (copies && candidate != owner) {
			predicted += candidate.transferMillis(missing) + COPY_SETUP_MILLIS;
		}
		double cost = predicted + FAILURE_MILLIS * candidate.failureRate(now);
		if (candidate != owner) {
			cost += missing * PREFIX_MISS_PENALTY;
		}
		if (!candidate.entry().zone().equals(this.dataCenter)) {
			cost += CROSS_DATA_CENTER_MILLIS;
		}
		if (this.unreachable.contains(candidate.entry().zone())) {
			cost += UNREACHABLE_DATA_CENTER_MILLIS;
		}
		return new Choice(new Placement(candidate, predicted, prefillTokens, copies ? source : null), cost);
	}

	private static boolean copyPays(Endpoint candidate, int tokens) {
		return candidate.transferMillis(tokens) + COPY_SETUP_MILLIS < candidate.prefillMillis(tokens);
	}

	private boolean copiable(Endpoint endpoint, long now) {
		return !endpoint.paused(now) && endpoint.failureRate(now) < UNRELIABLE_FAILURE_RATE
				&& !this.unreachable.contains(endpoint.entry().zone());
	}

	// The highest of the random weights that all gateways compute alike.
	private static @Nullable Endpoint highestRanked(Collection<Endpoint> endpoints, Prompt prompt,
			Predicate<Endpoint> eligible) {
		long key = prompt.sharedKey();
		if (key == 0) {
			return null;
		}
		Endpoint highest = null;
		long highestWeight = Long.MIN_VALUE;
		for (Endpoint endpoint : endpoints) {
			long weight = RendezvousHash.weight(key, endpoint.id().value());
			if ((highest == null || weight > highestWeight) && eligible.test(endpoint)) {
				highest = endpoint;
				highestWeight = weight;
			}
		}
		return highest;
	}

	private record Choice(Placement placement, double cost) {
	}

}
