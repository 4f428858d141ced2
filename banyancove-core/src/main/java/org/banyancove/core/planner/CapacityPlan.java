package org.banyancove.core.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.Invariant;
import org.banyancove.core.ZoneName;

/**
 * The VMs that provide a target capacity at the lowest price even if all reclaimable VMs
 * of the largest zone are reclaimed at once.
 * <p>
 * On-demand VMs are not reclaimed, so they count in full. Reclaimable ones are spread
 * over zones to an even level; a level is worth its price as long as the capacity that
 * survives the loss of one zone is cheaper than on-demand capacity.
 *
 * @param counts the planned number of VMs of each kind, without zeros
 * @param surviving the remaining capacity after the loss of the largest zone
 * @param pricePerHour the price per hour
 */
public record CapacityPlan(Map<VmKind, Integer> counts, double surviving, double pricePerHour) {

	private static final double TOLERANCE = 1e-9;

	private static final int MAXIMUM_COARSE_LEVELS = 256;

	/**
	 * Creates the plan with an immutable copy of the counts, in their order. The order of
	 * {@link Map#copyOf} differs between JVM runs, which would not be reproducible.
	 */
	public CapacityPlan {
		counts = Collections.unmodifiableMap(new LinkedHashMap<>(counts));
	}

	/**
	 * Returns the cheapest plan.
	 * @param target the capacity required after the loss of a zone, not negative
	 * @param offers the cloud's offers
	 * @param limits the maximum number of VMs of each kind whose starts are refused,
	 * which is the number already running; kinds without a limit are absent
	 * @return the plan; its {@code surviving} is below the target if the offers do not
	 * suffice
	 */
	public static CapacityPlan cheapest(double target, Collection<Offer> offers, Map<VmKind, Integer> limits) {
		List<Offer> zones = cheapestByZone(offers.stream().filter(Offer::reclaimable).toList());
		List<Offer> onDemand = offers.stream()
			.filter((offer) -> !offer.reclaimable())
			.sorted(Comparator.comparingDouble(Offer::unitPrice))
			.toList();
		CapacityPlan best = fill(target, List.of(), 0, onDemand, limits);
		for (int used = 2; used <= zones.size(); used++) {
			List<Offer> chosen = zones.subList(0, used);
			best = better(target, best, bestLevel(target, chosen, onDemand, limits));
		}
		return best;
	}

	/**
	 * Returns the remaining capacity after the loss of the largest zone.
	 * @param counts the number of VMs of each kind
	 * @param offers the offers, which define the capacity of each kind
	 * @return the remaining capacity
	 */
	public static double surviving(Map<VmKind, Integer> counts, Collection<Offer> offers) {
		Map<ZoneName, Double> reclaimable = new HashMap<>();
		double total = 0;
		for (Offer offer : offers) {
			double capacity = counts.getOrDefault(offer.kind(), 0) * offer.capacity();
			total += capacity;
			if (offer.reclaimable()) {
				reclaimable.merge(offer.zone(), capacity, Double::sum);
			}
		}
		return total - reclaimable.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
	}

	// Tries all levels if there are few. Otherwise a coarse pass is followed by all
	// levels adjacent to its best: the surviving capacity never decreases with the
	// level, so the highest one, which is always tried, meets the target if any
	// does.
	private static CapacityPlan bestLevel(double target, List<Offer> zones, List<Offer> onDemand,
			Map<VmKind, Integer> limits) {
		double step = zones.stream().mapToDouble(Offer::capacity).min().orElseThrow();
		int last = (int) Math.ceil(target / step) + 1;
		int stride = Math.ceilDiv(last, MAXIMUM_COARSE_LEVELS);
		int bestLevel = last;
		CapacityPlan best = fill(target, zones, last * step, onDemand, limits);
		for (int level = stride; level < last; level += stride) {
			CapacityPlan plan = fill(target, zones, level * step, onDemand, limits);
			if (isBetter(target, best, plan)) {
				best = plan;
				bestLevel = level;
			}
		}
		int end = Math.min(last, bestLevel + stride);
		for (int level = Math.max(1, bestLevel - stride + 1); stride > 1 && level < end; level++) {
			best = better(target, best, fill(target, zones, level * step, onDemand, limits));
		}
		return best;
	}

	private static List<Offer> cheapestByZone(List<Offer> offers) {
		Map<ZoneName, Offer> best = new HashMap<>();
		for (Offer offer : offers) {
			best.merge(offer.zone(), offer,
					(first, second) -> (first.unitPrice() <= second.unitPrice()) ? first : second);
		}
		return best.values()
			.stream()
			.sorted(Comparator.comparingDouble(Offer::unitPrice).thenComparing(Offer::zone))
			.toList();
	}

	private static CapacityPlan fill(double target, List<Offer> zones, double level, List<Offer> onDemand,
			Map<VmKind, Integer> limits) {
		Map<VmKind, Integer> counts = new LinkedHashMap<>();
		List<Offer> used = new ArrayList<>(zones);
		for (Offer offer : zones) {
			add(counts, offer, (int) Math.ceil(level / offer.capacity() - TOLERANCE), limits);
		}
		for (Offer offer : onDemand) {
			double missing = target - surviving(counts, used);
			used.add(offer);
			if (missing > TOLERANCE) {
				add(counts, offer, (int) Math.ceil(missing / offer.capacity() - TOLERANCE), limits);
			}
		}
		double price = used.stream()
			.mapToDouble((offer) -> counts.getOrDefault(offer.kind(), 0) * offer.pricePerHour())
			.sum();
		return new CapacityPlan(counts, surviving(counts, used), price);
	}

	private static void add(Map<VmKind, Integer> counts, Offer offer, int required, Map<VmKind, Integer> limits) {
		int count = Math.min(required, limits.getOrDefault(offer.kind(), Integer.MAX_VALUE));
		if (count > 0) {
			Invariant.check(!counts.containsKey(offer.kind()), "%s is offered twice", offer.kind());
			counts.put(offer.kind(), count);
		}
	}

	private static CapacityPlan better(double target, CapacityPlan first, CapacityPlan second) {
		return isBetter(target, first, second) ? second : first;
	}

	private static boolean isBetter(double target, CapacityPlan first, CapacityPlan second) {
		boolean firstMeets = first.surviving() >= target - TOLERANCE;
		boolean secondMeets = second.surviving() >= target - TOLERANCE;
		if (firstMeets && secondMeets) {
			return second.pricePerHour() < first.pricePerHour() - TOLERANCE;
		}
		return second.surviving() > first.surviving() + TOLERANCE;
	}

}
