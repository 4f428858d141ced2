package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.EngineMemory;
import org.banyancove.gateway.configuration.ScalingLimits;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.gateway.shared.Duties;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointAutoscalerTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final DataCenterName ZONE = new DataCenterName("a");

	private static final long TICK = Duration.ofMillis(200).toNanos();

	private final ScriptedDuties duties = new ScriptedDuties();

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final DemandEstimator demand = new DemandEstimator();

	private final EndpointAutoscaler autoscaler = new EndpointAutoscaler(this.duties, () -> FleetView.ALONE,
			this.demand, new ServingEndpoints(this.endpoints, new RolloutTable()));

	// Guards against on-demand endpoints, at several times the price, that run for
	// seconds after reclaimable ones are available again.
	@Test
	void aRejectedOrderIsRetriedEverySecond() {
		this.duties.available = false;
		runFor(10);
		assertThat(this.duties.reclaimableOrdersAt).hasSizeBetween(6, 8);
	}

	@Test
	void anAcceptedOrderIsNotRetriedWhileItsEndpointsStart() {
		runFor(6);
		assertThat(this.duties.reclaimableOrdersAt).hasSize(1);
	}

	// Guards against a fleet that shrinks before its first request: of 42 endpoints, 23
	// were listed when the first order was sent, and only those were replaced.
	@Test
	void theFirstOrderIsSentWhenAllEndpointsAreListed() {
		configure(60);
		for (int i = 0; i < 42; i++) {
			long listedAt = Duration.ofSeconds(5).toNanos() * i / 42;
			this.autoscaler.tick(1, listedAt);
			list("endpoint-" + i, false);
		}
		assertThat(this.duties.reclaimableCounts).isEmpty();
		for (long now = Duration.ofSeconds(5).toNanos(); now < Duration.ofSeconds(8).toNanos(); now += TICK) {
			this.autoscaler.tick(1, now);
		}
		assertThat(this.duties.reclaimableCounts).first().isEqualTo(42);
	}

	// Guards against on-demand endpoints that are ordered and cancelled by turns while
	// they start. The reclaimable endpoints of one data centre were reclaimed, none are
	// to
	// be had there, and orders for those that run elsewhere are accepted.
	@Test
	void replacementsOfReclaimedEndpointsAreNotCancelledWhileTheyStart() {
		DataCenterName reclaimed = new DataCenterName("b");
		configure(6, Map.of(ZONE, 1.0, reclaimed, 0.9));
		for (int i = 0; i < 8; i++) {
			list("endpoint-" + i, true);
		}
		this.duties.reclaimedDataCenter = reclaimed;
		for (long now = 0; now < Duration.ofSeconds(12).toNanos(); now += TICK) {
			this.duties.now = now;
			this.demand.add(SERVICE, 360, now);
			this.autoscaler.tick(1, now);
		}
		assertThat(this.duties.onDemandCounts).isNotEmpty().isSorted();
	}

	private void list(String id, boolean reclaimable) {
		this.endpoints.put(new EndpointEntry(new EndpointId(id), SERVICE, "v1",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), ZONE, 64, false, reclaimable, 1));
	}

	private void runFor(int seconds) {
		configure(6);
		for (long now = 0; now < Duration.ofSeconds(seconds).toNanos(); now += TICK) {
			this.duties.now = now;
			this.autoscaler.tick(1, now);
		}
	}

	private void configure(int maximumEndpoints) {
		configure(maximumEndpoints, Map.of(ZONE, 1.0));
	}

	private void configure(int maximumEndpoints, Map<DataCenterName, Double> prices) {
		ScalingLimits limits = new ScalingLimits(1, maximumEndpoints, Duration.ofSeconds(4), 0.2, prices);
		this.autoscaler.configure(new Configuration(1, List.of(),
				List.of(new Service(SERVICE, 100, new EngineMemory(600_000, 0.001), limits)), List.of(),
				CallerLimits.DEFAULT));
	}

	private static final class ScriptedDuties implements Duties {

		private final List<Long> reclaimableOrdersAt = new ArrayList<>();

		private final List<Integer> reclaimableCounts = new ArrayList<>();

		private final List<Integer> onDemandCounts = new ArrayList<>();

		private boolean available = true;

		private @Nullable DataCenterName reclaimedDataCenter;

		private long now;

		@Override
		public CompletableFuture<Boolean> reportUsage(long fence, long window, Map<AccountName, Long> counts) {
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public CompletableFuture<Boolean> orderEndpoints(long fence, ServiceName service, DataCenterName zone,
				boolean reclaimable, int count) {
			if (reclaimable) {
				this.reclaimableOrdersAt.add(this.now);
				this.reclaimableCounts.add(count);
			}
			if (!reclaimable && zone.equals(this.reclaimedDataCenter)) {
				this.onDemandCounts.add(count);
			}
			return CompletableFuture
				.completedFuture(!reclaimable || (this.available && !zone.equals(this.reclaimedDataCenter)));
		}

	}

}
