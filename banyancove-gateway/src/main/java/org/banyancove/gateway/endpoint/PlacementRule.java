package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint with the lowest cost: the predicted latency plus penalties for
 * failures, for prefix tokens that are not cached and for crossing data centres.
 * <p>
 * The requests of a session share a long prompt prefix and arrive at several gateways,
 * which do not exchange the prompts that they sent. All gateways rank the endpoints for a
 * session identically, by rendezvous hashing of the last shared part, so that its prefix
 * is prefilled at one owner. If the owner is busy or has just started, the endpoint that
 * receives the request copies the prefix from the highest-ranked of the others.
 */
public final class PlacementRule {

	/**
	 * Penalty for each shared token that is not cached, in ms, in addition to the
	 * predicted latency. Both ways to obtain it have a cost: prefilling it again delays
	 * the other requests of the batch, and copying it evicts other prefixes from memory.
	 */
	private static final double PREFIX_MISS_PENALTY_MILLIS = 0.05;

	/**
	 * Time to set up a copy, in ms; for a short prefix, prefilling is faster than this.
	 */
	private static final double COPY_SETUP_MILLIS = 3;

	/**
	 * Failure rate from which on an endpoint is no prefix source: a request that waits
	 * for a copy from a dead endpoint is late.
	 */
	private static final double MAXIMUM_SOURCE_FAILURE_RATE = 0.3;

	/**
	 * Penalty for a failure, in ms: about the time after which a client retries or gives
	 * up.
	 */
	private static final double FAILURE_PENALTY_MILLIS = 1500;

	/** Penalty for another data centre, in ms: the network round trip. */
	private static final double CROSS_DATA_CENTER_PENALTY_MILLIS = 3;

	/**
	 * Penalty for a data centre whose gateways became unreachable, in ms. The data centre
	 * may be partitioned, and a request sent there would wait until it times out. Equals
	 * the penalty for a failure, so that such endpoints are used as a last resort.
	 */
	private static final double UNREACHABLE_DATA_CENTER_PENALTY_MILLIS = FAILURE_PENALTY_MILLIS;

	/**
	 * Random cost of an endpoint that bears few rejections, in ms: more than idle
	 * endpoints of a plain service differ by. Without it, all gateways choose the same
	 * one as soon as their reports show that it is idle.
	 */
	private static final double SPREAD_MILLIS = 50;

	private final DataCenterName dataCenter;

	private final DoubleSupplier random;

	private Set<DataCenterName> unreachableDataCenters = Set.of();

	/**
	 * Creates the rule.
	 * @param dataCenter the gateway's own data centre
	 * @param random supplies random numbers from 0 to 1, which spread requests over
	 * endpoints that bear few rejections
	 */
	public PlacementRule(DataCenterName dataCenter, DoubleSupplier random) {
		this.dataCenter = dataCenter;
		this.random = random;
	}

	/**
	 * Sets the data centres that may be unreachable from this gateway.
	 * @param dataCenters the data centres
	 */
	public void setUnreachableDataCenters(Set<DataCenterName> dataCenters) {
		this.unreachableDataCenters = Set.copyOf(dataCenters);
	}

	/**
	 * Chooses an endpoint for a request regardless of its latency target.
	 * @param endpoints the service's endpoints
	 * @param prompt the request's prompt
	 * @param tried the endpoints that the request has been sent to
	 * @param now the current time
	 * @return the placement, or {@code null} if no endpoint is available
	 */
	public @Nullable Placement choose(Collection<Endpoint> endpoints, Prompt prompt, Set<EndpointId> tried, long now) {
		Placement placement = chooseBest(endpoints, prompt, null, tried, now);
		endpoints.stream().findFirst().ifPresent((endpoint) -> endpoint.recordDemand(placement != null, now));
		return placement;
	}

	/**
	 * Chooses an endpoint for a request.
	 * @param endpoints the service's endpoints
	 * @param prompt the request's prompt
	 * @param latencyTarget the latency target of its route
	 * @param tried the endpoints that the request has been sent to
	 * @param now the current time
	 * @return the placement, or {@code null} if no endpoint is available
	 */
	public @Nullable Placement choose(Collection<Endpoint> endpoints, Prompt prompt, Duration latencyTarget,
			Set<EndpointId> tried, long now) {
		Placement placement = find(endpoints, prompt, latencyTarget, tried, now);
		Endpoint any = endpoints.stream().findFirst().orElse(null);
		if (any != null) {
			any.recordDemand(placement != null, now);
		}
		if (placement != null) {
			Endpoint chosen = placement.endpoint();
			LatencyClass latencyClass = chosen.partition().classOf(latencyTarget);
			chosen.partition().record(latencyClass, chosen.serviceTimeMillis(placement.prefillTokens()), now);
		}
		return placement;
	}

	/**
	 * Finds the present endpoint for a request that has been counted before, such as one
	 * that waits.
	 * @param endpoints the service's endpoints
	 * @param prompt the request's prompt
	 * @param latencyTarget the latency target of its route
	 * @param tried the endpoints that the request must not be sent to
	 * @param now the current time
	 * @return the placement, or {@code null} if no endpoint is available
	 */
	public @Nullable Placement find(Collection<Endpoint> endpoints, Prompt prompt, Duration latencyTarget,
			Set<EndpointId> tried, long now) {
		Endpoint any = endpoints.stream().findFirst().orElse(null);
		if (any == null) {
			return null;
		}
		EndpointPartition partition = any.partition();
		LatencyClass latencyClass = partition.classOf(latencyTarget);
		Placement divided = partition.applies(endpoints.size())
				? chooseBest(endpoints, prompt, latencyClass, tried, now) : null;
		// Endpoints beyond the spillover limit are used if no other is available.
		return (divided != null) ? divided : chooseBest(endpoints, prompt, null, tried, now);
	}

	private @Nullable Placement chooseBest(Collection<Endpoint> endpoints, Prompt prompt,
			@Nullable LatencyClass latencyClass, Set<EndpointId> tried, long now) {
		Endpoint owner = owner(endpoints, prompt, latencyClass);
		Endpoint firstSource = highestRanked(endpoints, prompt, (endpoint) -> isEligibleSource(endpoint, now));
		Endpoint secondSource = highestRanked(endpoints, prompt,
				(endpoint) -> endpoint != firstSource && isEligibleSource(endpoint, now));
		Candidate best = null;
		for (Endpoint endpoint : candidates(endpoints, owner, latencyClass, tried, now)) {
			Endpoint source = (endpoint != firstSource) ? firstSource : secondSource;
			Candidate evaluated = evaluate(endpoint, owner, source, prompt, now);
			if (latencyClass != null && isPreferredByOthers(endpoint, latencyClass)) {
				evaluated = spillover(evaluated, latencyClass);
			}
			if (evaluated != null && (best == null || evaluated.cost() < best.cost())) {
				best = evaluated;
			}
		}
		return (best != null) ? best.placement() : null;
	}

	// The owner and, if the endpoints announce a slowdown, a few others of each class.
	private List<Endpoint> candidates(Collection<Endpoint> endpoints, @Nullable Endpoint owner,
			@Nullable LatencyClass latencyClass, Set<EndpointId> tried, long now) {
		List<Endpoint> candidates = new ArrayList<>();
		CandidateSample preferred = new CandidateSample(this.random);
		CandidateSample others = new CandidateSample(this.random);
		for (Endpoint endpoint : endpoints) {
			if (!available(endpoint, tried, now) || !endpoint.permitsRequest(now)) {
				continue;
			}
			if (endpoint == owner || !endpoint.partition().slowdownAnnounced()) {
				candidates.add(endpoint);
			}
			else if (latencyClass == null || !isPreferredByOthers(endpoint, latencyClass)) {
				preferred.offer(endpoint);
			}
			else {
				others.offer(endpoint);
			}
		}
		candidates.addAll(preferred.drawn());
		candidates.addAll(others.drawn());
		return candidates;
	}

	private static @Nullable Endpoint owner(Collection<Endpoint> endpoints, Prompt prompt,
			@Nullable LatencyClass latencyClass) {
		Endpoint preferred = (latencyClass != null) ? highestRanked(endpoints, prompt,
				(endpoint) -> !endpoint.draining() && !isPreferredByOthers(endpoint, latencyClass)) : null;
		return (preferred != null) ? preferred : highestRanked(endpoints, prompt, (endpoint) -> !endpoint.draining());
	}

	private static boolean isPreferredByOthers(Endpoint endpoint, LatencyClass latencyClass) {
		return endpoint.partition().preferredBy(endpoint.id()) != latencyClass;
	}

	private static @Nullable Candidate spillover(Candidate candidate, LatencyClass latencyClass) {
		EndpointPartition partition = candidate.placement().endpoint().partition();
		return partition.permitsSpillover(latencyClass, candidate.placement().predictedMillis())
				? new Candidate(candidate.placement(), candidate.cost() + partition.penaltyMillis(latencyClass)) : null;
	}

	private static boolean available(Endpoint candidate, Set<EndpointId> tried, long now) {
		return !tried.contains(candidate.id()) && !candidate.draining() && !candidate.backedOff(now);
	}

	/**
	 * Returns the time after which a caller may retry, if all available endpoints have
	 * asked for a pause or are rate limited.
	 * @param endpoints the service's endpoints
	 * @param tried the endpoints that the request has been sent to
	 * @param now the current time
	 * @return the time, or {@code null} if an endpoint permits a request now or none is
	 * available
	 */
	public @Nullable Duration retryAfter(Collection<Endpoint> endpoints, Set<EndpointId> tried, long now) {
		Duration shortest = null;
		for (Endpoint candidate : endpoints) {
			if (!available(candidate, tried, now)) {
				continue;
			}
			Duration wait = candidate.retryAfter(now);
			if (wait.isZero()) {
				return null;
			}
			shortest = (shortest == null || wait.compareTo(shortest) < 0) ? wait : shortest;
		}
		return shortest;
	}

	/**
	 * Returns the time after which a caller may retry, if attempts at all endpoints
	 * failed so recently that none gets a request within a time.
	 * @param endpoints the service's endpoints
	 * @param maximumWait the time
	 * @param now the current time
	 * @return the time, or {@code null} if an endpoint may get a request or none exists
	 */
	public @Nullable Duration retryAfterBackoff(Collection<Endpoint> endpoints, Duration maximumWait, long now) {
		Endpoint earliest = null;
		for (Endpoint candidate : endpoints) {
			if (!candidate.draining() && (earliest == null
					|| candidate.backoffRemaining(now).compareTo(earliest.backoffRemaining(now)) < 0)) {
				earliest = candidate;
			}
		}
		return (earliest != null && earliest.backoffRemaining(now).compareTo(maximumWait) > 0)
				? earliest.retryAfterBackoff(now) : null;
	}

	private Candidate evaluate(Endpoint candidate, @Nullable Endpoint owner, @Nullable Endpoint source, Prompt prompt,
			long now) {
		int missingTokens = candidate.missingPrefixTokens(prompt);
		boolean copiesPrefix = source != null && isCopyFaster(candidate, missingTokens);
		// The owner receives the session's requests from all gateways, so that it has the
		// prefix cached even if this gateway has not sent it there.
		boolean prefixCached = copiesPrefix || candidate == owner;
		int prefillTokens = candidate.uncachedTokens(prompt) - (prefixCached ? missingTokens : 0);
		double predicted = candidate.predictedMillis(prompt, prefillTokens, now);
		if (copiesPrefix && candidate != owner) {
			predicted += candidate.transferMillis(missingTokens) + COPY_SETUP_MILLIS;
		}
		double cost = predicted + FAILURE_PENALTY_MILLIS * candidate.failureRate(now);
		if (candidate != owner) {
			cost += missingTokens * PREFIX_MISS_PENALTY_MILLIS;
		}
		if (candidate.limitsRejections(now)) {
			cost += SPREAD_MILLIS * this.random.getAsDouble();
		}
		if (!candidate.entry().dataCenter().equals(this.dataCenter)) {
			cost += CROSS_DATA_CENTER_PENALTY_MILLIS;
		}
		if (this.unreachableDataCenters.contains(candidate.entry().dataCenter())) {
			cost += UNREACHABLE_DATA_CENTER_PENALTY_MILLIS;
		}
		return new Candidate(new Placement(candidate, predicted, prefillTokens, copiesPrefix ? source : null), cost);
	}

	private static boolean isCopyFaster(Endpoint candidate, int tokens) {
		return candidate.transferMillis(tokens) + COPY_SETUP_MILLIS < candidate.prefillMillis(tokens);
	}

	private boolean isEligibleSource(Endpoint endpoint, long now) {
		return !endpoint.backedOff(now) && endpoint.pause().remaining(now).isZero()
				&& endpoint.failureRate(now) < MAXIMUM_SOURCE_FAILURE_RATE
				&& !this.unreachableDataCenters.contains(endpoint.entry().dataCenter());
	}

	// All gateways compute the same weights and therefore the same ranking.
	private static @Nullable Endpoint highestRanked(Collection<Endpoint> endpoints, Prompt prompt,
			Predicate<Endpoint> eligible) {
		long key = prompt.lastSharedPartId();
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

	private record Candidate(Placement placement, double cost) {
	}

}
