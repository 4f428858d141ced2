package org.banyancove.gateway.duty;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.ScalingLimits;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ScalingPolicyTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final DataCenterName CHEAP = new DataCenterName("a");

	private static final DataCenterName MIDDLE = new DataCenterName("b");

	private static final DataCenterName EXPENSIVE = new DataCenterName("c");

	private static final ScalingLimits LIMITS = new ScalingLimits(1, 6, Duration.ofSeconds(4), 0.15,
			Map.of(CHEAP, 0.85, MIDDLE, 1.0, EXPENSIVE, 1.2));

	private final ScalingPolicy policy = new ScalingPolicy();

	@Test
	void ordersReclaimableEndpointsEverywhereAndKeepsOnDemandOnesUntilTheyRun() {
		List<EndpointEntry> listed = listed(2, 0);
		assertThat(total(decide(listed, 1900, 0), true)).isGreaterThanOrEqualTo(6);
		assertThat(total(decide(listed, 1900, 1), false)).isEqualTo(4);
	}

	@Test
	void releasesOnDemandEndpointsOnceReclaimableOnesRun() {
		List<EndpointEntry> listed = listed(2, 2);
		assertThat(total(decide(listed, 1900, 0), false)).isZero();
	}

	// Guards against a capacity shortage after all reclaimable endpoints of two data
	// centres were reclaimed without replacements. The remaining ones can be reclaimed
	// at once too, so on-demand endpoints are ordered immediately for the entire
	// demand, and the remaining reclaimable ones are kept.
	@Test
	void onDemandEndpointsReplaceReclaimedOnes() {
		decide(listed(0, 2), 1900, 0);
		List<EndpointEntry> remaining = new ArrayList<>();
		add(remaining, CHEAP, 2, true);
		List<ScalingPolicy.CapacityOrder> orders = decide(remaining, 1900, 1);
		assertThat(total(orders, false)).isEqualTo(4);
		assertThat(orders).filteredOn((order) -> order.dataCenter().equals(CHEAP) && order.reclaimable())
			.singleElement()
			.satisfies((order) -> assertThat(order.count()).isGreaterThanOrEqualTo(2));
	}

	// Guards against a shortage for the duration of a start: all reclaimable endpoints
	// of one data centre are reclaimed without replacements, and those of the next one
	// a few seconds later. On-demand endpoints must be ordered at the first loss.
	@Test
	void onDemandEndpointsAreOrderedBeforeLastDataCenterIsReclaimed() {
		decide(listed(0, 3), 1900, 0);
		List<EndpointEntry> remaining = new ArrayList<>();
		add(remaining, CHEAP, 3, true);
		assertThat(total(decide(remaining, 1900, 1), false)).isGreaterThanOrEqualTo(3);
	}

	// Guards against a new lease holder without load history that releases reclaimable
	// endpoints during low load while none are available. They could not be replaced,
	// and on-demand endpoints would be ordered instead.
	@Test
	void reclaimableEndpointsAreKeptWhileNoMoreAreAvailable() {
		List<EndpointEntry> remaining = new ArrayList<>();
		add(remaining, CHEAP, 5, true);
		assertThat(decide(remaining, 100, false, 0))
			.filteredOn((order) -> order.dataCenter().equals(CHEAP) && order.reclaimable())
			.singleElement()
			.satisfies((order) -> assertThat(order.count()).isEqualTo(5));
	}

	@Test
	void noOnDemandEndpointIsOrderedWhenOtherDataCentersCoverLoss() {
		assertThat(total(decide(listed(0, 3), 1900, 0), false)).isZero();
	}

	// Guards against scaling down immediately after a burst of three times the load:
	// its endpoints are retained for the next one.
	@Test
	void scalesUpImmediatelyAndScalesDownLater() {
		List<EndpointEntry> listed = listed(1, 4);
		int lowLoadCount = total(decide(listed, 1000, true, 0), true);
		int burstCount = total(decide(listed, 3000, true, 1), true);
		assertThat(burstCount).isGreaterThan(lowLoadCount);
		assertThat(total(decide(listed, 1000, true, 20), true)).isEqualTo(burstCount);
		assertThat(total(decide(listed, 1000, true, 60), true)).isEqualTo(lowLoadCount);
	}

	// Guards against on-demand endpoints that permanently occupy all capacity of all
	// data centres after reclaimable ones are available again. Each simulated second,
	// the ordered endpoints run, so the on-demand ones must be released within a few
	// seconds. The total must not fall below the demand until then.
	@Test
	void onDemandEndpointsAtMaximumAreReplacedByReclaimableOnes() {
		List<EndpointEntry> listed = listed(6, 0);
		for (int second = 0; second < 12; second++) {
			List<ScalingPolicy.CapacityOrder> orders = decide(listed, 6000, true, second);
			listed = new ArrayList<>();
			for (ScalingPolicy.CapacityOrder order : orders) {
				add(listed, order.dataCenter(), order.count(), order.reclaimable());
			}
			assertThat(listed).hasSizeGreaterThanOrEqualTo(10);
		}
		assertThat(total(decide(listed, 6000, true, 12), false)).isLessThanOrEqualTo(3);
	}

	// Guards against an order that moves to a cheaper data centre while its on-demand
	// endpoint is starting: the start would be aborted, and callers would wait for
	// another complete start.
	@Test
	void orderDoesNotMoveWhileEndpointIsStarting() {
		List<EndpointEntry> listed = new ArrayList<>();
		add(listed, CHEAP, 6, true);
		add(listed, MIDDLE, 6, true);
		assertThat(onDemandIn(EXPENSIVE, decide(listed, 4700, 0))).isEqualTo(2);
		List<EndpointEntry> changed = new ArrayList<>();
		add(changed, CHEAP, 4, true);
		add(changed, MIDDLE, 6, true);
		add(changed, EXPENSIVE, 2, true);
		assertThat(onDemandIn(EXPENSIVE, decide(changed, 4700, 1))).isEqualTo(2);
	}

	// Guards against orders for an unreachable data centre. During a network partition
	// the entries of its endpoints expire, but the endpoints keep running and are
	// listed again after some seconds. Orders would stop them, and new endpoints would
	// be unreachable too.
	@Test
	void nothingIsOrderedInUnreachableDataCenter() {
		decide(listed(1, 3), 4700, true, 0);
		List<EndpointEntry> remaining = new ArrayList<>();
		add(remaining, CHEAP, 3, true);
		add(remaining, MIDDLE, 3, true);
		assertThat(decide(remaining, 4700, true, 1)).isNotEmpty()
			.noneMatch((order) -> order.dataCenter().equals(EXPENSIVE));
		assertThat(decide(remaining, 4700, true, 30)).anyMatch((order) -> order.dataCenter().equals(EXPENSIVE));
	}

	@Test
	void dataCenterWithDrainedEndpointsIsNotConsideredUnreachable() {
		List<EndpointEntry> leaving = new ArrayList<>();
		add(leaving, CHEAP, 3, true);
		leaving.add(new EndpointEntry(new EndpointId("d"), new ServiceName("engines"), "v1",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), EXPENSIVE, 64, true, true, 1));
		decide(leaving, 4700, true, 0);
		List<EndpointEntry> remaining = new ArrayList<>();
		add(remaining, CHEAP, 3, true);
		assertThat(decide(remaining, 4700, true, 1)).anyMatch((order) -> order.dataCenter().equals(EXPENSIVE));
	}

	// Guards against a fleet that is scaled down before its first request. It starts
	// some seconds earlier with fifteen on-demand endpoints, and as many reclaimable
	// ones must run when requests arrive.
	@Test
	void initialCapacityIsKeptBeforeFirstRequest() {
		List<ScalingPolicy.CapacityOrder> first = decide(listed(5, 0), 0, 0);
		assertThat(total(first, true)).isGreaterThanOrEqualTo(15);
		assertThat(total(decide(listed(0, 5), 0, true, 15), true)).isGreaterThanOrEqualTo(15);
		assertThat(total(decide(listed(0, 5), 1000, true, 40), true)).isLessThan(15);
	}

	// Guards against low utilization of on-demand engines, which are billed in full:
	// with 200 concurrent streams with short prompts on engines of 64 slots, a fifth of
	// the slots would be used.
	@Test
	void onDemandEndpointsUseMostOfTheirSlots() {
		List<ScalingPolicy.CapacityOrder> orders = this.policy.decide(LIMITS, listed(2, 0), 1000, 200, false, 0);
		assertThat(total(orders, false)).isBetween(200 / 64, 2 * 200 / 64);
	}

	@Test
	void onDemandEndpointsRemainWhileNoReclaimableOnesAreAvailable() {
		for (int second = 0; second < 12; second++) {
			assertThat(total(decide(listed(6, 0), 6000, second), false)).isEqualTo(10);
		}
	}

	@Test
	void observesMinimumAndMaximumPerDataCenter() {
		for (int demand = 0; demand < 40_000; demand += 1000) {
			List<ScalingPolicy.CapacityOrder> orders = new ScalingPolicy().decide(LIMITS, listed(1, 2), demand, 0, true,
					0);
			for (DataCenterName dataCenter : List.of(CHEAP, MIDDLE, EXPENSIVE)) {
				int total = orders.stream()
					.filter((order) -> order.dataCenter().equals(dataCenter))
					.mapToInt(ScalingPolicy.CapacityOrder::count)
					.sum();
				assertThat(total).as("demand %s", demand)
					.isBetween(LIMITS.minimumEndpoints(), LIMITS.maximumEndpoints());
			}
		}
	}

	private static int onDemandIn(DataCenterName dataCenter, List<ScalingPolicy.CapacityOrder> orders) {
		return total(orders.stream().filter((order) -> order.dataCenter().equals(dataCenter)).toList(), false);
	}

	private List<ScalingPolicy.CapacityOrder> decide(List<EndpointEntry> listed, double demand, long second) {
		return decide(listed, demand, false, second);
	}

	private List<ScalingPolicy.CapacityOrder> decide(List<EndpointEntry> listed, double demand,
			boolean reclaimableAvailable, long second) {
		return this.policy.decide(LIMITS, listed, demand, 0, reclaimableAvailable, second * SECOND);
	}

	private static int total(List<ScalingPolicy.CapacityOrder> orders, boolean reclaimable) {
		return orders.stream()
			.filter((order) -> order.reclaimable() == reclaimable)
			.mapToInt(ScalingPolicy.CapacityOrder::count)
			.sum();
	}

	private static List<EndpointEntry> listed(int onDemand, int reclaimable) {
		List<EndpointEntry> entries = new ArrayList<>();
		for (DataCenterName dataCenter : List.of(CHEAP, MIDDLE, EXPENSIVE)) {
			add(entries, dataCenter, onDemand, false);
			add(entries, dataCenter, reclaimable, true);
		}
		return entries;
	}

	private static void add(List<EndpointEntry> entries, DataCenterName dataCenter, int count, boolean reclaimable) {
		for (int i = 0; i < count; i++) {
			entries.add(new EndpointEntry(new EndpointId(dataCenter + "-" + reclaimable + i),
					new ServiceName("engines"), "v1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
					dataCenter, 64, false, reclaimable, 1));
		}
	}

}
