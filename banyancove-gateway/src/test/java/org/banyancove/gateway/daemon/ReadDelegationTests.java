package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.rollout.RolloutReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ReadDelegation}.
 */
class ReadDelegationTests {

	private static final List<Long> READERS = List.of(1L, 2L, 3L);

	private long now;

	private final ReadDelegation delegation = new ReadDelegation(() -> this.now, 9);

	@Test
	void aStartingGatewayReadsUntilItDetectsReaders() {
		this.delegation.update(fleet(List.of(), false, false));
		assertThat(this.delegation.delegatesSharedState()).isFalse();
		this.delegation.update(fleet(READERS, true, false));
		assertThat(this.delegation.delegatesSharedState()).isTrue();
		assertThat(this.delegation.delegatesLease()).isTrue();
	}

	// Guards against calls of all gateways to a store that fails for some seconds.
	@Test
	void nonAggregatorsWaitForTheAggregatorsWhenReadersAreMissing() {
		this.delegation.update(fleet(READERS, true, false));
		advance(Duration.ofMillis(2900));
		this.delegation.update(fleet(List.of(), false, false));
		assertThat(this.delegation.delegatesSharedState()).isTrue();
		assertThat(this.delegation.delegatesLease()).isTrue();
	}

	// Guards against changes that no gateway reads because the store rejects the
	// aggregators.
	@Test
	void aGatewayReadsAfterATimeoutWithoutReaders() {
		this.delegation.update(fleet(READERS, true, false));
		advance(Duration.ofMillis(3100));
		this.delegation.update(fleet(List.of(2L), true, false));
		assertThat(this.delegation.delegatesSharedState()).isFalse();
		assertThat(this.delegation.delegatesLease()).isTrue();
	}

	// Guards against waiting for aggregators that are unreachable from this gateway.
	@Test
	void anIsolatedGatewayReads() {
		this.delegation.update(fleet(READERS, true, false));
		this.delegation.update(FleetView.ALONE);
		assertThat(this.delegation.delegatesSharedState()).isFalse();
		assertThat(this.delegation.delegatesLease()).isFalse();
	}

	@Test
	void anAggregatorReadsImmediately() {
		this.delegation.update(fleet(READERS, true, true));
		this.delegation.update(fleet(List.of(), false, true));
		assertThat(this.delegation.delegatesSharedState()).isFalse();
		assertThat(this.delegation.delegatesLease()).isFalse();
	}

	private void advance(Duration time) {
		this.now += time.toNanos();
	}

	private static FleetView fleet(List<Long> readers, boolean leaseHeldElsewhere, boolean aggregator) {
		return new FleetView(5, 1, Set.of(), Map.of(), Map.of(), RolloutReport.NONE, Map.of(), Map.of(),
				leaseHeldElsewhere, SharedStateVersion.NONE, readers, aggregator);
	}

}
