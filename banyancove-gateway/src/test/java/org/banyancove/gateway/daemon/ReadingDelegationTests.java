package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.KnownState;
import org.banyancove.gateway.rollout.RolloutReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ReadingDelegation}.
 */
class ReadingDelegationTests {

	private static final List<Long> READERS = List.of(1L, 2L, 3L);

	private long now;

	private final ReadingDelegation delegation = new ReadingDelegation(() -> this.now, 9);

	@Test
	void aGatewayThatStartsReadsUntilItHearsOfReaders() {
		this.delegation.update(fleet(List.of(), false, false));
		assertThat(this.delegation.ofSharedState()).isFalse();
		this.delegation.update(fleet(READERS, true, false));
		assertThat(this.delegation.ofSharedState()).isTrue();
		assertThat(this.delegation.ofLease()).isTrue();
	}

	// Guards against calls of all gateways to a store that fails for some seconds.
	@Test
	void withoutReadersTheRestWaitsForTheAggregators() {
		this.delegation.update(fleet(READERS, true, false));
		after(Duration.ofMillis(2900));
		this.delegation.update(fleet(List.of(), false, false));
		assertThat(this.delegation.ofSharedState()).isTrue();
		assertThat(this.delegation.ofLease()).isTrue();
	}

	// Guards against changes that nobody reads because the store rejects the aggregators.
	@Test
	void afterAWhileWithoutReadersItReads() {
		this.delegation.update(fleet(READERS, true, false));
		after(Duration.ofMillis(3100));
		this.delegation.update(fleet(List.of(2L), true, false));
		assertThat(this.delegation.ofSharedState()).isFalse();
		assertThat(this.delegation.ofLease()).isTrue();
	}

	// Guards against waiting for aggregators that are cut off from here.
	@Test
	void aGatewayThatHearsNobodyReads() {
		this.delegation.update(fleet(READERS, true, false));
		this.delegation.update(FleetView.ALONE);
		assertThat(this.delegation.ofSharedState()).isFalse();
		assertThat(this.delegation.ofLease()).isFalse();
	}

	@Test
	void anAggregatorReadsAtOnce() {
		this.delegation.update(fleet(READERS, true, true));
		this.delegation.update(fleet(List.of(), false, true));
		assertThat(this.delegation.ofSharedState()).isFalse();
		assertThat(this.delegation.ofLease()).isFalse();
	}

	private void after(Duration time) {
		this.now += time.toNanos();
	}

	private static FleetView fleet(List<Long> readers, boolean leaseHeld, boolean aggregates) {
		return new FleetView(5, 1, Set.of(), Map.of(), Map.of(), RolloutReport.NONE, Map.of(), leaseHeld,
				KnownState.NONE, readers, aggregates);
	}

}
