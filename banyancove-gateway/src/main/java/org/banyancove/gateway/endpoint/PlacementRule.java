package org.banyancove.gateway.endpoint;

import java.util.Collection;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * Chooses an endpoint: the one that is predicted to answer soonest, weighed by how often
 * it fails and by the prompt parts that would be read twice.
 * <p>
 * The load that it answers: sessions that come back with a long shared prompt, to several
 * gateways that don't tell each other what they sent. All of them order the endpoints of
 * a session alike (rendezvous hashing of the last shared part), so a session's parts are
 * read at one endpoint, and at the second only when the first is busy.
 */
public final class PlacementRule {

	/**
	 * What reading a shared token again costs beside the time until the answer, in ms: it
	 * holds up the batch, and is paid for. Some 250 ms for a shared part of 5,000 tokens,
	 * which leaves an answer within its target.
	 */
	private static final double REREAD_MILLIS = 0.05;

	/**
	 * The time that a failure costs, in ms: a client comes back or gives up after about
	 * so long.
	 */
	private static final double FAILURE_MILLIS = 1500;

	/** The time that another data centre costs, in ms: the hop there and back. */
	private static final double FAR_MILLIS = 3;

	/**
	 * The time that an endpoint in a data centre costs whose gateways fell silent, in ms.
	 * The data centre may be cut off, and a request sent there would wait until its end;
	 * as long as a failure, so that it is used where nothing else is left.
	 */
	private static final double SILENT_ZONE_MILLIS = FAILURE_MILLIS;

	private final ZoneName zone;

	private Set<ZoneName> unreachable = Set.of();

	/**
	 * Creates the rule.
	 * @param zone the gateway's own data centre
	 */
	public PlacementRule(ZoneName zone) {
		this.zone = zone;
	}

	/**
	 * Takes in which data centres may be cut off from here.
	 * @param zones the data centres
	 */
	public void unreachable(Set<ZoneName> zones) {
		this.unreachable = Set.copyOf(zones);
	}

	/**
	 * Chooses an endpoint for a request.
	 * @param candidates the service's endpoints that take requests
	 * @param prompt the request's prompt
	 * @param tried the endpoints that it has been sent to
	 * @param now the present time
	 * @return the choice, or {@code null} if there is none
	 */
	public @Nullable Placement choose(Collection<Endpoint> candidates, Prompt prompt, Set<EndpointId> tried, long now) {
		Endpoint home = home(candidates, prompt);
		Endpoint best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		double bestPredicted = 0;
		for (Endpoint candidate : candidates) {
			if (tried.contains(candidate.id()) || candidate.paused(now)) {
				continue;
			}
			double predicted = candidate.predictedMillis(prompt, now);
			double cost = predicted + FAILURE_MILLIS * candidate.failureRate(now);
			if (candidate != home) {
				cost += REREAD_MILLIS * Math.max(0, prompt.sharedTokens() - candidate.heldTokens(prompt));
			}
			if (!candidate.entry().zone().equals(this.zone)) {
				cost += FAR_MILLIS;
			}
			if (this.unreachable.contains(candidate.entry().zone())) {
				cost += SILENT_ZONE_MILLIS;
			}
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
				bestPredicted = predicted;
			}
		}
		return (best != null) ? new Placement(best, bestPredicted) : null;
	}

	private static @Nullable Endpoint home(Collection<Endpoint> candidates, Prompt prompt) {
		long key = prompt.sharedKey();
		if (key == 0) {
			return null;
		}
		Endpoint home = null;
		long highest = Long.MIN_VALUE;
		for (Endpoint candidate : candidates) {
			long hash = mix(key ^ mix(candidate.id().value().hashCode()));
			if (home == null || hash > highest) {
				home = candidate;
				highest = hash;
			}
		}
		return home;
	}

	// The finalizer of SplitMix64, which spreads neighbouring keys evenly.
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
