package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;

/**
 * What the other gateways told of themselves.
 * <p>
 * Counts of usage stay when their process is gone: what it counted did run. Loads are
 * forgotten after a short silence, and a gateway counts as one of the fleet for longer:
 * it may be cut off from here and go on working.
 */
public final class PeerTable {

	/** Silence after which a gateway's loads count no more: a few missed reports. */
	private static final Duration SILENCE = Duration.ofMillis(1500);

	/**
	 * Silence after which a gateway is no longer one of the fleet: longer than most cuts.
	 */
	private static final Duration GONE = Duration.ofSeconds(12);

	/**
	 * Gateways that read the store for all: with three, two may die at the same moment,
	 * or be slow, and changes still arrive in time.
	 */
	private static final int READERS = 3;

	/** Windows that are kept for the usage report. */
	private static final int MOST_WINDOWS = 12;

	private final Map<Long, Peer> peers = new HashMap<>();

	private final TreeMap<Long, Map<Long, Map<AccountName, Long>>> counts = new TreeMap<>();

	/**
	 * Takes in a report.
	 * @param report the report
	 * @param now when it was read, on the steady clock
	 * @return what the gateway let in since its last report and was not left to it while
	 * it was unreachable, by client account; nothing for its first one
	 */
	public Map<AccountName, Double> read(GatewayReport report, long now) {
		Peer before = this.peers.put(report.incarnation(), new Peer(report, now));
		readCounts(report);
		Map<AccountName, Double> since = new HashMap<>();
		if (before != null) {
			double charged = chargedPart(now - before.at());
			report.used()
				.forEach((account, used) -> since.put(account,
						charged * Math.max(0, used - before.report().used().getOrDefault(account, 0.0))));
		}
		return since;
	}

	// A gateway that is unreachable has its part of each quota left to it. What it let in
	// meanwhile was earned by that part: charged once more when a cut ends, the sum of
	// several seconds would lock its accounts out at all gateways.
	private static double chargedPart(long silentNanos) {
		return Math.min(1, SILENCE.toNanos() / (double) Math.max(1, silentNanos));
	}

	/**
	 * Takes in the counts of usage of a report.
	 * @param report the report
	 */
	public void readCounts(GatewayReport report) {
		report.counts()
			.forEach((window, accounts) -> this.counts.computeIfAbsent(window, (number) -> new HashMap<>())
				.put(report.incarnation(), accounts));
		while (this.counts.size() > MOST_WINDOWS) {
			this.counts.pollFirstEntry();
		}
	}

	/**
	 * Forgets the gateways that are gone.
	 * @param now the present time
	 */
	public void expire(long now) {
		this.peers.values().removeIf((entry) -> now - entry.at() > GONE.toNanos());
	}

	/**
	 * Returns the gateways of the fleet that were told of here, without this one.
	 * @return the number
	 */
	public int others() {
		return this.peers.size();
	}

	/**
	 * Returns the part of the fleet that is reachable now, this gateway included.
	 * @param now the present time
	 * @return the part, from 0 to 1
	 */
	public double reachableShare(long now) {
		long fresh = this.peers.values().stream().filter((entry) -> entry.fresh(now)).count();
		return (fresh + 1.0) / (this.peers.size() + 1);
	}

	/**
	 * Returns the data centres all of whose gateways have been unreachable for a while.
	 * @param own this gateway's data centre, which is none of them
	 * @param silence for how long
	 * @param now the present time
	 * @return the data centres
	 */
	public Set<DataCenterName> unreachableDataCenters(DataCenterName own, Duration silence, long now) {
		Set<DataCenterName> unreachable = new HashSet<>();
		Set<DataCenterName> reachable = new HashSet<>(Set.of(own));
		for (Peer entry : this.peers.values()) {
			boolean recentlyReported = now - entry.at() < silence.toNanos();
			(recentlyReported ? reachable : unreachable).add(entry.report().zone());
		}
		unreachable.removeAll(reachable);
		return unreachable;
	}

	/**
	 * Returns whether enough others read the store, so that this gateway need not.
	 * <p>
	 * Each gateway that polls costs calls, which are paid for and bounded; at 810
	 * gateways the store's bound would be spent on polling alone. A few read and tell the
	 * rest. Those with the lowest identifiers read, as all can tell alike; a gateway that
	 * hears too few of them reads for itself.
	 * @param own this gateway's incarnation
	 * @param silence after which a gateway counts as unreachable
	 * @param now the present time
	 * @return whether reading is left to others
	 */
	public boolean readingIsLeftToOthers(long own, Duration silence, long now) {
		return this.peers.values()
			.stream()
			.filter((entry) -> now - entry.at() < silence.toNanos() && entry.report().known().reads()
					&& entry.report().incarnation() < own)
			.count() >= READERS;
	}

	/**
	 * Returns what the reader knows that is furthest of those that are reachable.
	 * @param silence after which a gateway counts as unreachable
	 * @param now the present time
	 * @return what it knows, {@link KnownState#NONE} if none is reachable
	 */
	public KnownState furthestReader(Duration silence, long now) {
		return this.peers.values()
			.stream()
			.filter((entry) -> now - entry.at() < silence.toNanos() && entry.report().known().reads())
			.map((entry) -> entry.report().known())
			.max(Comparator.comparingLong(KnownState::endpointsNext))
			.orElse(KnownState.NONE);
	}

	/**
	 * Returns whether another gateway told of late that it does the shared duties.
	 * @param now the present time
	 * @return whether one did
	 */
	public boolean hasLeaseHolder(long now) {
		return this.peers.values().stream().anyMatch((entry) -> entry.fresh(now) && entry.report().holdsLease());
	}

	/**
	 * Returns what the others have at endpoints.
	 * @param now the present time
	 * @return the loads
	 */
	public Map<EndpointId, EndpointLoad> loads(long now) {
		Map<EndpointId, EndpointLoad> total = new HashMap<>();
		for (Peer entry : this.peers.values()) {
			if (entry.fresh(now)) {
				entry.report().loads().forEach((endpoint, load) -> total.merge(endpoint, load, EndpointLoad::plus));
			}
		}
		return total;
	}

	/**
	 * Returns the engine time that the others' requests need.
	 * @param service the service
	 * @param now the present time
	 * @return milliseconds a second
	 */
	public double work(ServiceName service, long now) {
		return this.peers.values()
			.stream()
			.filter((entry) -> entry.fresh(now))
			.mapToDouble((entry) -> entry.report().work().getOrDefault(service, 0.0))
			.sum();
	}

	/**
	 * Returns what all gateways counted in a window.
	 * @param window the window's number
	 * @return the requests by client account
	 */
	public Map<AccountName, Long> counted(long window) {
		Map<AccountName, Long> total = new HashMap<>();
		this.counts.getOrDefault(window, Map.of())
			.values()
			.forEach((accounts) -> accounts.forEach((account, count) -> total.merge(account, count, Long::sum)));
		return total;
	}

	private record Peer(GatewayReport report, long at) {

		boolean fresh(long now) {
			return now - this.at < SILENCE.toNanos();
		}

	}

}
