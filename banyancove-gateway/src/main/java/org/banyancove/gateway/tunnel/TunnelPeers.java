package org.banyancove.gateway.tunnel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.banyancove.core.DataCenterName;
import org.jspecify.annotations.Nullable;

/**
 * Selects the gateways through which endpoints are reached.
 * <p>
 * A random peer of the own data centre is preferred: load is even, and no data crosses
 * data centres that would not have crossed them directly. A data centre in which a peer
 * has failed lately comes last, since its other gateways may be partitioned too.
 */
public final class TunnelPeers {

	/** Time for which a peer is not used after a failure; further ones double it. */
	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(4);

	/** Time for which a peer's success counts while others fail. */
	private static final Duration PROVEN_TIME = Duration.ofSeconds(5);

	/**
	 * Peers that must have succeeded before no others are tried first, while some fail,
	 * so that load is spread over several peers.
	 */
	private static final int SUFFICIENT_PROVEN_PEERS = 3;

	private final RandomGenerator random;

	private final Map<String, Outcome> outcomes = new HashMap<>();

	private @Nullable TunnelPeer own;

	private List<TunnelPeer> others = List.of();

	TunnelPeers(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Updates the gateways of the fleet.
	 * @param newOwn this gateway
	 * @param newOthers the other gateways
	 */
	public void update(TunnelPeer newOwn, List<TunnelPeer> newOthers) {
		this.own = newOwn;
		this.others = List.copyOf(newOthers);
		Set<String> names = new HashSet<>();
		this.others.forEach((peer) -> names.add(peer.name()));
		this.outcomes.keySet().retainAll(names);
	}

	@Nullable TunnelPeer own() {
		return this.own;
	}

	/**
	 * Chooses a peer.
	 * @param tried the names of the peers that were tried for the same connection
	 * @param now the current time
	 * @return the peer, or {@code null} if none is left
	 */
	@Nullable TunnelPeer choose(Set<String> tried, long now) {
		Set<DataCenterName> suspect = new HashSet<>();
		List<TunnelPeer> available = new ArrayList<>();
		List<TunnelPeer> proven = new ArrayList<>();
		for (TunnelPeer peer : this.others) {
			Outcome outcome = this.outcomes.get(peer.name());
			if (outcome != null && outcome.isBackedOff(now)) {
				suspect.add(peer.dataCenter());
			}
			else if (!tried.contains(peer.name())) {
				available.add(peer);
				if (outcome != null && outcome.isProven(now)) {
					proven.add(peer);
				}
			}
		}
		boolean explores = suspect.isEmpty() || (proven.size() < SUFFICIENT_PROVEN_PEERS && tried.isEmpty());
		return random(preferred((explores || proven.isEmpty()) ? available : proven, suspect));
	}

	private List<TunnelPeer> preferred(List<TunnelPeer> candidates, Set<DataCenterName> suspect) {
		List<TunnelPeer> preferred = new ArrayList<>();
		int lowest = Integer.MAX_VALUE;
		for (TunnelPeer peer : candidates) {
			int rank = (suspect.contains(peer.dataCenter()) ? 2 : 0) + (isLocal(peer) ? 0 : 1);
			if (rank < lowest) {
				lowest = rank;
				preferred.clear();
			}
			if (rank == lowest) {
				preferred.add(peer);
			}
		}
		return preferred;
	}

	private @Nullable TunnelPeer random(List<TunnelPeer> candidates) {
		return candidates.isEmpty() ? null : candidates.get(this.random.nextInt(candidates.size()));
	}

	private boolean isLocal(TunnelPeer peer) {
		return this.own != null && peer.dataCenter().equals(this.own.dataCenter());
	}

	void recordSuccess(TunnelPeer peer, long now) {
		this.outcomes.put(peer.name(), new Outcome(0, Long.MIN_VALUE, now + PROVEN_TIME.toNanos()));
	}

	void recordFailure(TunnelPeer peer, long now) {
		Outcome previous = this.outcomes.get(peer.name());
		if (previous != null && previous.isBackedOff(now)) {
			// Attempts that were under way at the same time count once.
			return;
		}
		int failures = (previous != null) ? previous.failures() + 1 : 1;
		long duration = Math.min(INITIAL_BACKOFF.toNanos() << Math.min(failures - 1, 10), MAXIMUM_BACKOFF.toNanos());
		this.outcomes.put(peer.name(), new Outcome(failures, now + duration, Long.MIN_VALUE));
	}

	/**
	 * The latest outcome of a peer.
	 *
	 * @param failures the number of consecutive failures
	 * @param backoffUntil until when the peer is not used
	 * @param provenUntil until when the peer's latest success counts
	 */
	private record Outcome(int failures, long backoffUntil, long provenUntil) {

		boolean isBackedOff(long now) {
			return now < this.backoffUntil;
		}

		boolean isProven(long now) {
			return now < this.provenUntil;
		}

	}

}
