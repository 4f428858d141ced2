package org.banyancove.core.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ZoneName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityPlanTests {

	@Property(tries = 200, seed = "6")
	void planSurvivesLossOfAnyZoneAndCostsNoMoreThanOnDemand(@ForAll @IntRange(min = 1, max = 5) int zones,
			@ForAll @DoubleRange(min = 0, max = 200) double target,
			@ForAll @DoubleRange(min = 0.1, max = 5) double price) {
		List<Offer> offers = offers(zones, price);
		CapacityPlan plan = CapacityPlan.cheapest(target, offers, Map.of());
		assertThat(CapacityPlan.surviving(plan.counts(), offers)).isGreaterThanOrEqualTo(target - 1e-6);
		assertThat(plan.pricePerHour()).isLessThanOrEqualTo(Math.ceil(target) * 3);
	}

	// Many levels are searched in two passes. The plan must still cost no more than the
	// optimum, which is an even spread over all zones without on-demand VMs.
	@Property(tries = 50, seed = "7")
	void largePlanCostsNoMoreThanEvenSpread(@ForAll @IntRange(min = 2, max = 5) int zones,
			@ForAll @DoubleRange(min = 300, max = 12_000) double target) {
		CapacityPlan plan = CapacityPlan.cheapest(target, offers(zones, 1), Map.of());
		int each = (int) Math.ceil(target / (zones - 1) - 1e-9);
		assertThat(plan.surviving()).isGreaterThanOrEqualTo(target - 1e-6);
		assertThat(plan.pricePerHour()).isLessThanOrEqualTo(each * zones);
	}

	// Three zones offer reclaimable VMs at a third of the price: 10 of 15 survive. Then
	// one zone with 2 running VMs refuses starts, and the others, together with
	// on-demand VMs, must provide the missing capacity.
	@Test
	void zoneThatRefusesStartsIsReplaced() {
		List<Offer> offers = offers(3, 1);
		assertThat(CapacityPlan.cheapest(10, offers, Map.of()).counts().values()).containsExactly(5, 5, 5);
		VmKind refused = offers.getFirst().kind();
		CapacityPlan plan = CapacityPlan.cheapest(10, offers, Map.of(refused, 2));
		assertThat(plan.counts().getOrDefault(refused, 0)).isLessThanOrEqualTo(2);
		assertThat(plan.surviving()).isGreaterThanOrEqualTo(10);
	}

	private List<Offer> offers(int zones, double price) {
		List<Offer> offers = new ArrayList<>();
		for (int zone = 1; zone <= zones; zone++) {
			offers.add(new Offer(new ZoneName("zone-" + zone), new MachineClass("small"), true, price, 1));
		}
		offers.add(new Offer(new ZoneName("zone-1"), new MachineClass("small"), false, 3, 1));
		return offers;
	}

}
