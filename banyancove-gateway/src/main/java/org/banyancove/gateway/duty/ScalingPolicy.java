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
 * Decides how many reclaimable and on-demand endpoints of a service run in each data
 * centre.
 * <p>
 * During a traffic surge, all reclaimable endpoints of a data centre may be reclaimed at
 * once, with no replacements available for some time. Reclaimable endpoints cost a
 * fraction of on-demand ones, so they are overprovisioned across all data centres.
 * On-demand endpoints are ordered only for the demand that the surviving reclaimable ones
 * do not cover. Scale-up is immediate and scale-down is delayed, since a start takes
 * seconds. On-demand endpoints that replaced reclaimable ones may occupy all capacity of
 * the data centres. When reclaimable capacity is available again, they are released
 * gradually, as reclaimable endpoints start.
 * <p>
 * Times are in nanoseconds of the monotonic clock.
 */
public final class ScalingPolicy {

	/**
	 * Fraction of an engine's time that prefill may take while reclaimable endpoints are
	 * sufficient: beyond it, prompts queue for longer than short latency targets allow.
	 */
	private static final double RECLAIMABLE_PREFILL_UTILIZATION = 0.13;

	/**
	 * Fraction of an engine's time that prefill may take on on-demand endpoints: they
	 * cost several times as much, so higher utilization is preferred to more engines.
	 */
	private static final double ON_DEMAND_PREFILL_UTILIZATION = 0.6;

	/**
	 * Fraction of an engine's slots in use while reclaimable endpoints are sufficient.
	 */
	private static final double RECLAIMABLE_SLOT_UTILIZATION = 0.3;

	/** Fraction of an engine's slots in use on on-demand endpoints. */
	private static final double ON_DEMAND_SLOT_UTILIZATION = 0.7;

	/**
	 * Time for which the peak demand for reclaimable endpoints is retained: longer than
	 * the interval between two bursts.
	 */
	private static final Duration DESIRED_CAPACITY_WINDOW = Duration.ofSeconds(30);

	/**
	 * Time for which the peak of the minimum capacity is retained: about two endpoint
	 * starts.
	 */
	private static final Duration MINIMUM_CAPACITY_WINDOW = Duration.ofSeconds(8);

	/**
	 * Reclaimable endpoints per data centre at any load: a burst starts within a second,
	 * an endpoint within four.
	 */
	private static final int MINIMUM_RECLAIMABLE_PER_DATA_CENTER = 3;

	private final DataCenterFailureDetector failureDetector = new DataCenterFailureDetector();

	private final SlidingWindowMaximum desiredCapacity = new SlidingWindowMaximum(DESIRED_CAPACITY_WINDOW);

	private final SlidingWindowMaximum minimumCapacity = new SlidingWindowMaximum(MINIMUM_CAPACITY_WINDOW);

	private Map<DataCenterName, Integer> onDemandOrdered = Map.of();

	/**
	 * Returns the desired number of endpoints of each kind in each data centre.
	 * @param limits the scaling limits of the service
	 * @param listed the service's endpoints
	 * @param demand the required engine time, in ms per second
	 * @param inFlight the number of requests in flight at the endpoints
	 * @param reclaimableAvailable whether the last order of reclaimable endpoints was
	 * accepted
	 * @param now the current time
	 * @return the orders; none for an unreachable data centre, whose previous orders
	 * remain in effect
	 */
	public List<CapacityOrder> decide(ScalingLimits limits, Collection<EndpointEntry> listed, double demand,
			int inFlight, boolean reclaimableAvailable, long now) {
		List<DataCenterName> all = new ArrayList<>(limits.zonePrices().keySet());
		all.sort(Comparator
			.comparingDouble((DataCenterName dataCenter) -> limits.zonePrices().getOrDefault(dataCenter, 1.0))
			.thenComparing(DataCenterName::value));
		Set<DataCenterName> unreachable = this.failureDetector.update(listed, all, now);
		List<DataCenterName> dataCenters = all.stream()
			.filter((dataCenter) -> !unreachable.contains(dataCenter))
			.toList();
		if (dataCenters.isEmpty()) {
			return List.of();
		}
		double busyEngines = demand / 1000;
		double busyEngineSlots = inFlight / (double) slots(listed);
		double desired = this.desiredCapacity.add(
				Math.max(initialCapacity(listed, demand, inFlight), Math.max(
						busyEngines / RECLAIMABLE_PREFILL_UTILIZATION, busyEngineSlots / RECLAIMABLE_SLOT_UTILIZATION)),
				now);
		int minimum = (int) this.minimumCapacity.add(atLeastOne(
				Math.max(busyEngines / ON_DEMAND_PREFILL_UTILIZATION, busyEngineSlots / ON_DEMAND_SLOT_UTILIZATION)),
				now);
		if (limits.reclaimablePrice() >= 1) {
			return orders(dataCenters, placeOnDemand(minimum, dataCenters, limits, listed), null, limits);
		}
		Map<DataCenterName, Integer> running = runningReclaimable(listed, dataCenters);
		Map<DataCenterName, Integer> reclaimable = distribute(
				Math.max(dataCenters.size() * MINIMUM_RECLAIMABLE_PER_DATA_CENTER, (int) Math.ceil(desired)),
				dataCenters, limits.maximumEndpoints());
		if (!reclaimableAvailable) {
			// Endpoints released now could not be replaced when the load increases.
			running.forEach((dataCenter, count) -> reclaimable.merge(dataCenter, count, Math::max));
		}
		int surviving = survivingLargestLoss(reclaimableAvailable ? reclaimable : running);
		int onDemand = Math.max(0, minimum - Math.min(running(listed, true), surviving));
		return orders(dataCenters, placeOnDemand(onDemand, dataCenters, limits, listed), reclaimable, limits);
	}

	// The first decision may precede the first request. The running endpoints are then
	// the only indication of the expected load. If they were released, a large fleet
	// would begin with few endpoints, and callers would wait for the duration of a
	// start.
	private int initialCapacity(Collection<EndpointEntry> listed, double demand, int inFlight) {
		boolean noDemandYet = this.desiredCapacity.isEmpty() && demand == 0 && inFlight == 0;
		return noDemandYet ? listed.size() : 0;
	}

	private static double atLeastOne(double endpoints) {
		return Math.max(1, Math.ceil(endpoints));
	}

	private static int slots(Collection<EndpointEntry> listed) {
		return listed.stream().mapToInt(EndpointEntry::slots).min().orElse(1);
	}

	private List<CapacityOrder> orders(List<DataCenterName> dataCenters, Map<DataCenterName, Integer> onDemand,
			@Nullable Map<DataCenterName, Integer> reclaimable, ScalingLimits limits) {
		this.onDemandOrdered = onDemand;
		List<CapacityOrder> orders = new ArrayList<>();
		for (DataCenterName dataCenter : dataCenters) {
			int onDemandHere = onDemand.getOrDefault(dataCenter, 0);
			int desiredHere = (reclaimable != null) ? reclaimable.getOrDefault(dataCenter, 0) : 0;
			int reclaimableHere = Math.min(desiredHere, limits.maximumEndpoints() - onDemandHere);
			orders.add(new CapacityOrder(dataCenter, false,
					Math.max(onDemandHere, limits.minimumEndpoints() - reclaimableHere)));
			if (reclaimable != null) {
				orders.add(new CapacityOrder(dataCenter, true, reclaimableHere));
			}
		}
		return orders;
	}

	/**
	 * Returns the number of endpoints of a kind in a data centre that are not draining.
	 * @param listed the service's endpoints
	 * @param dataCenter the data centre
	 * @param reclaimable whether to count reclaimable or on-demand endpoints
	 * @return the number of endpoints
	 */
	public static int running(Collection<EndpointEntry> listed, DataCenterName dataCenter, boolean reclaimable) {
		return (int) listed.stream()
			.filter((entry) -> entry.dataCenter().equals(dataCenter) && entry.reclaimable() == reclaimable
					&& !entry.draining())
			.count();
	}

	private static int running(Collection<EndpointEntry> listed, boolean reclaimable) {
		return (int) listed.stream().filter((entry) -> entry.reclaimable() == reclaimable && !entry.draining()).count();
	}

	private static Map<DataCenterName, Integer> runningReclaimable(Collection<EndpointEntry> listed,
			List<DataCenterName> dataCenters) {
		Map<DataCenterName, Integer> running = new HashMap<>();
		dataCenters.forEach((dataCenter) -> running.put(dataCenter, running(listed, dataCenter, true)));
		return running;
	}

	// Returns the reclaimable endpoints that remain if the data centre with the most of
	// them loses all at once. If those were counted too, on-demand endpoints would be
	// ordered only when they are already leaving. Callers would wait four seconds for
	// the start at the remaining endpoints.
	private static int survivingLargestLoss(Map<DataCenterName, Integer> reclaimable) {
		int all = reclaimable.values().stream().mapToInt(Integer::intValue).sum();
		int most = reclaimable.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		return all - most;
	}

	// Distributes evenly, starting with the cheapest data centre.
	private static Map<DataCenterName, Integer> distribute(int total, List<DataCenterName> dataCenters, int most) {
		Map<DataCenterName, Integer> counts = new HashMap<>();
		for (int i = 0; i < total; i++) {
			counts.merge(dataCenters.get(i % dataCenters.size()), 1, (left, right) -> Math.min(most, left + right));
		}
		return counts;
	}

	// Keeps the endpoints that are running or starting, the cheapest data centre first,
	// and places the others where the reclaimable endpoints leave capacity. A new
	// endpoint starts empty, a removed one interrupts its streams, and an order that
	// moves while its endpoint is starting costs another start of four seconds.
	private Map<DataCenterName, Integer> placeOnDemand(int total, List<DataCenterName> dataCenters,
			ScalingLimits limits, Collection<EndpointEntry> listed) {
		Map<DataCenterName, Integer> placed = new HashMap<>();
		int remaining = total;
		for (DataCenterName dataCenter : dataCenters) {
			int existing = Math.max(running(listed, dataCenter, false),
					this.onDemandOrdered.getOrDefault(dataCenter, 0));
			int count = Math.min(remaining, Math.min(existing, limits.maximumEndpoints()));
			placed.put(dataCenter, count);
			remaining -= count;
		}
		for (DataCenterName dataCenter : dataCenters) {
			int room = limits.maximumEndpoints() - running(listed, dataCenter, true)
					- placed.getOrDefault(dataCenter, 0);
			int count = Math.clamp(room, 0, remaining);
			placed.merge(dataCenter, count, Integer::sum);
			remaining -= count;
		}
		return placed;
	}

	/**
	 * The desired number of endpoints of a kind in a data centre.
	 *
	 * @param dataCenter the data centre
	 * @param reclaimable whether the endpoints are reclaimable or on-demand
	 * @param count the desired number of endpoints
	 */
	public record CapacityOrder(DataCenterName dataCenter, boolean reclaimable, int count) {
	}

}
