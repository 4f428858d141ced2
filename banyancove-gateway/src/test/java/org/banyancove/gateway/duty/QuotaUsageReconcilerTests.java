package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaUsageReconcilerTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final long STEP = Duration.ofMillis(250).toNanos();

	private final QuotaUsageReconciler reconciler = new QuotaUsageReconciler(Duration.ofMillis(1500));

	private long now;

	// Guards against an account that is charged twice, once for each aggregator that
	// reports the same gateways.
	@Test
	void usageReportedByTwoSendersIsChargedOnce() {
		assertThat(update(1, 1000)).isZero();
		assertThat(update(2, 50)).isZero();
		assertThat(update(1, 1100)).isEqualTo(100);
		assertThat(update(2, 150)).isZero();
		assertThat(update(2, 180)).isEqualTo(30);
		assertThat(update(1, 1130)).isZero();
	}

	// Guards against requests that exceed the quota while one of the two aggregators is
	// down.
	@Test
	void usageReportedByRemainingSenderIsCharged() {
		update(1, 1000);
		update(2, 50);
		update(1, 1100);
		assertThat(update(2, 400)).isEqualTo(250);
	}

	// Guards against a sender that missed reports, stays below the charged total, and
	// hides subsequent usage after the other sender is removed.
	@Test
	void laggingSenderIsRealignedWhenOtherIsRemoved() {
		update(1, 1000);
		update(2, 50);
		update(1, 5000);
		assertThat(update(2, 60)).isZero();
		this.reconciler.removeSender(1);
		update(2, 70);
		assertThat(update(2, 90)).isEqualTo(20);
	}

	// Guards against the first usage of an account being charged twice.
	@Test
	void newAccountIsChargedOnce() {
		this.reconciler.update(1, Map.of(), 0);
		this.reconciler.update(2, Map.of(), 0);
		assertThat(update(1, 300)).isEqualTo(300);
		assertThat(update(2, 300)).isZero();
	}

	private double update(long sender, double sum) {
		this.now += STEP;
		return this.reconciler.update(sender, Map.of(ACCOUNT, sum), this.now).getOrDefault(ACCOUNT, 0.0);
	}

}
