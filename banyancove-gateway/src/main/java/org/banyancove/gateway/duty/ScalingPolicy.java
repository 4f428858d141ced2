package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.configuration.ScalingLimits;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.jspecify.annotations.Nullable;

/**
 * Decides how many endpoints of a service are ordered, of which kind and where.
 * <p>
 * Under a wave of traffic, all reclaimable endpoints of a data centre are taken away at
 * once and no more are available for a while. Reclaimable ones cost a fraction, so they
 * are ordered for what is needed and once more over all data centres. On-demand ones are
 * ordered only for what the reclaimable ones that are left do not cover. Orders grow at
 * once and shrink after a while, since a start takes seconds. On-demand ones that stood
 * in fill the places of the data centres; once reclaimable ones are available again they
 * make room for them step by step, as many as have started.
 * <p>
 * Times are nanoseconds of the steady clock.
 */
public final class ScalingPolicy {

	/**
	 * Part of an engine's time that prefill takes where reclaimable endpoints are enough:
	 * beyond it, prompts wait for each other longer than short targets allow.
	 */
	private static final double COMFORTABLE_UTILIZATION = 0.13;

	/**
	 * The same where on-demand endpoints have to stand in: they cost several times as
	 * much, so that a fuller engine is worth less than another.
	 */
	private static final double DENSE_UTILIZATION = 0.6;

	/**
	 * Part of an engine's slots that are taken where reclaimable endpoints are enough.
	 */
	private static final double COMFORTABLE_SLOT_SHARE = 0.3;

	/** The same where on-demand endpoints have to stand in. */
	private static final double DENSE_SLOT_SHARE = 0.7;

	/**
	 * How long a need for reclaimable ones is remembered: longer than between two bursts.
	 */
	private static final Duration MEMORY = Duration.ofSeconds(30);

	/** How long the least need is remembered: about two starts. */
	private static final Duration MINIMUM_MEMORY = Duration.ofSeconds(8);

	/**
	 * Reclaimable endpoints in each data centre at any load: a burst starts within a
	 * second, an endpoint in four.
	 */
	private static final int MINIMUM_IN_DATA_CENTER = 3;

	private final DataCenterFailureDetector unreachableDataCenters = new DataCenterFailureDetector();

	private final RecentPeak needs = new RecentPeak(MEMORY);

	private final RecentPeak leastNeeds = new RecentPeak(MINIMUM_MEMORY);

	private Map<DataCenterName, Integer> onDemandOrdered = Map.of();

	/**
	 * Decides the orders.
	 * @param limits what may be ordered
	 * @param listed the service's endpoints
	 * @param work the engine time that is needed, in ms a second
	 * @param inFlight the requests at the endpoints
	 * @param reclaimableAvailable whether the last order of reclaimable endpoints was
	 * taken
	 * @param now the present time
	 * @return the orders; none for a data centre that is cut off, where what was ordered
	 * stays
	 */
	public List<Order> decide(ScalingLimits limits, Collection<EndpointEntry> listed, double work, int inFlight,
			boolean reclaimableAvailable, long now) {
		List<DataCenterName> all = new ArrayList<>(limits.zonePrices().keySet());
		all.sort(Comparator.comparingDouble((DataCenterName zone) -> limits.zonePrices().getOrDefault(zone, 1.0))
			.thenComparing(DataCenterName::value));
		Set<DataCenterName> silent = this.unreachableDataCenters.update(listed, all, now);
		List<DataCenterName> zones = all.stream().filter((zone) -> !silent.contains(zone)).toList();
		if (zones.isEmpty()) {
			return List.of();
		}
		double engines = work / 1000;
		double engineSlots = inFlight / (double) slots(listed);
		double comfortable = this.needs.add(Math.max(standing(listed, work, inFlight),
				Math.max(engines / COMFORTABLE_UTILIZATION, engineSlots / COMFORTABLE_SLOT_SHARE)), now);
		int least = (int) this.leastNeeds
			.add(atLeastOne(Math.max(engines / DENSE_UTILIZATION, engineSlots / DENSE_SLOT_SHARE)), now);
		if (limits.reclaimablePrice() >= 1) {
			return orders(zones, fill(least, zones, limits, listed), null, limits);
		}
		Map<DataCenterName, Integer> running = runningByZone(listed, zones);
		Map<DataCenterName, Integer> reclaimable = spread(
				Math.max(zones.size() * MINIMUM_IN_DATA_CENTER, (int) Math.ceil(comfortable)), zones, limits.most());
		if (!reclaimableAvailable) {
			// What is given back now cannot be had again when the load returns.
			running.forEach((zone, count) -> reclaimable.merge(zone, count, Math::max));
		}
		int left = leftAfterLoss(reclaimableAvailable ? reclaimable : running);
		int onDemand = Math.max(0, least - Math.min(running(listed, true), left));
		return orders(zones, fill(onDemand, zones, limits, listed), reclaimable, limits);
	}

	// The first decision may come before any caller does. What stands then is the only
	// sign of the load to come: given back, a large fleet would begin its day with a few
	// endpoints, and callers wait for as long as a start takes.
	private int standing(Collection<EndpointEntry> listed, double work, int inFlight) {
		boolean unknown = this.needs.isEmpty() && work == 0 && inFlight == 0;
		return unknown ? listed.size() : 0;
	}

	private static double atLeastOne(double endpoints) {
		return Math.max(1, Math.ceil(endpoints));
	}

	private static int slots(Collection<EndpointEntry> listed) {
		return listed.stream().mapToInt(EndpointEntry::slots).min().orElse(1);
	}

	private List<Order> orders(List<DataCenterName> zones, Map<DataCenterName, Integer> onDemand,
			@Nullable Map<DataCenterName, Integer> reclaimable, ScalingLimits limits) {
		this.onDemandOrdered = onDemand;
		List<Order> orders = new ArrayList<>();
		for (DataCenterName zone : zones) {
			int onDemandHere = onDemand.getOrDefault(zone, 0);
			int wanted = (reclaimable != null) ? reclaimable.getOrDefault(zone, 0) : 0;
			int reclaimableHere = Math.min(wanted, limits.most() - onDemandHere);
			orders.add(new Order(zone, false, Math.max(onDemandHere, limits.fewest() - reclaimableHere)));
			if (reclaimable != null) {
				orders.add(new Order(zone, true, reclaimableHere));
			}
		}
		return orders;
	}

	/**
	 * Counts the endpoints of a kind in a data centre that are not leaving.
	 * @param listed the service's endpoints
	 * @param zone the data centre
	 * @param reclaimable the kind
	 * @return the number
	 */
	public static int running(Collection<EndpointEntry> listed, DataCenterName zone, boolean reclaimable) {
		return (int) listed.stream()
			.filter((entry) -> entry.zone().equals(zone) && entry.reclaimable() == reclaimable && !entry.draining())
			.count();
	}

	private static int running(Collection<EndpointEntry> listed, boolean reclaimable) {
		return (int) listed.stream().filter((entry) -> entry.reclaimable() == reclaimable && !entry.draining()).count();
	}

	private static Map<DataCenterName, Integer> runningByZone(Collection<EndpointEntry> listed,
			List<DataCenterName> zones) {
		Map<DataCenterName, Integer> running = new HashMap<>();
		zones.forEach((zone) -> running.put(zone, running(listed, zone, true)));
		return running;
	}

	// The reclaimable endpoints that are left when the data centre with the most of them
	// loses all at one blow. Counting those too would order on-demand ones only once they
	// are leaving: callers would wait for a start, four seconds, at whatever is left.
	private static int leftAfterLoss(Map<DataCenterName, Integer> reclaimable) {
		int all = reclaimable.values().stream().mapToInt(Integer::intValue).sum();
		int most = reclaimable.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		return all - most;
	}

	// Spreads evenly, the cheaper data centres first.
	private static Map<DataCenterName, Integer> spread(int total, List<DataCenterName> zones, int most) {
		Map<DataCenterName, Integer> spread = new HashMap<>();
		for (int i = 0; i < total; i++) {
			spread.merge(zones.get(i % zones.size()), 1, (left, right) -> Math.min(most, left + right));
		}
		return spread;
	}

	// Keeps those that run or start, the cheapest data centre first, and orders what is
	// missing where there is room beside the reclaimable ones: an endpoint that starts is
	// empty, one that leaves breaks streams off, and an order that moves while its
	// endpoint starts costs a start, four seconds, once more.
	private Map<DataCenterName, Integer> fill(int total, List<DataCenterName> zones, ScalingLimits limits,
			Collection<EndpointEntry> listed) {
		Map<DataCenterName, Integer> filled = new HashMap<>();
		int left = total;
		for (DataCenterName zone : zones) {
			int there = Math.max(running(listed, zone, false), this.onDemandOrdered.getOrDefault(zone, 0));
			int here = Math.min(left, Math.min(there, limits.most()));
			filled.put(zone, here);
			left -= here;
		}
		for (DataCenterName zone : zones) {
			int room = limits.most() - running(listed, zone, true) - filled.getOrDefault(zone, 0);
			int here = Math.clamp(room, 0, left);
			filled.merge(zone, here, Integer::sum);
			left -= here;
		}
		return filled;
	}

	/**
	 * How many endpoints of a kind there are to be in a data centre.
	 *
	 * @param zone the data centre
	 * @param reclaimable the kind
	 * @param count the number
	 */
	public record Order(DataCenterName zone, boolean reclaimable, int count) {
	}

}
