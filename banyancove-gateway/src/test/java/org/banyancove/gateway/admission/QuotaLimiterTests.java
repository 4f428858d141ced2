package org.banyancove.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.banyancove.gateway.configuration.TokenQuota;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaLimiterTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final TokenQuota QUOTA = new TokenQuota(true, 135_000, 135_000, 200);

	// Tolerated usage beyond rate and burst in a window: a tenth, plus a fixed amount.
	private static final double OVERSHOOT_RATIO = 0.1;

	private static final double OVERSHOOT_AMOUNT = 140_000;

	@Test
	void acceptsNoRequestBeforeTheFirstRefill() {
		QuotaLimiter limiter = new QuotaLimiter(QUOTA, 0);
		assertThat(limiter.tryAcquire(1000, 0)).isFalse();
		assertThat(limiter.tryAcquire(1000, SECOND / 100)).isTrue();
	}

	@Test
	void acceptsARequestThatCostsMoreThanTheBucketHolds() {
		QuotaLimiter limiter = new QuotaLimiter(QUOTA, 0);
		assertThat(limiter.tryAcquire(500_000, SECOND)).isTrue();
		assertThat(limiter.tryAcquire(1, 2 * SECOND)).isFalse();
		assertThat(limiter.retryAfter()).isBetween(Duration.ofSeconds(1), Duration.ofSeconds(4));
	}

	// Guards against rejecting requests within the quota after an operator changes it: a
	// full bucket must remain full when the quota is lowered, and not start empty.
	@Test
	void aChangedQuotaKeepsTheLevel() {
		QuotaLimiter limiter = new QuotaLimiter(QUOTA, 0);
		TokenQuota lower = new TokenQuota(true, 30_000, 30_000, 200);
		QuotaLimiter lowered = limiter.withQuota(lower, SECOND);
		assertThat(lowered.available()).isEqualTo(30_000);
		lowered.tryAcquire(50_000, SECOND);
		QuotaLimiter raised = lowered.withQuota(QUOTA, SECOND);
		assertThat(raised.available()).isEqualTo(-20_000);
		assertThat(raised.used()).isEqualTo(50_000);
	}

	// Guards against an overshoot of the quota over all gateways. An account sends eight
	// times its rate to nine gateways, half of it to one of them, and usage reports
	// arrive a quarter of a second late. In each window of 8 s, the gateways together
	// must accept at most rate and burst plus the tolerance.
	@Test
	void allGatewaysTogetherKeepToTheQuotaAtEightTimesTheRate() {
		Fleet fleet = new Fleet(9);
		double maximum = fleet.maximumInWindow(8, 8 * QUOTA.ratePerSecond());
		double allowed = (QUOTA.ratePerSecond() * 8 + QUOTA.burst()) * (1 + OVERSHOOT_RATIO) + OVERSHOOT_AMOUNT;
		assertThat(maximum).isLessThan(allowed);
		assertThat(maximum).isGreaterThan(0.95 * QUOTA.ratePerSecond() * 8);
	}

	// Guards against an overshoot in a network partition with two halves that both serve
	// requests: each half reserves the share of the gateways that it cannot reach.
	@Test
	void partitionedHalvesKeepToTheQuota() {
		Fleet fleet = new Fleet(8);
		fleet.partition();
		double maximum = fleet.maximumInWindow(8, 8 * QUOTA.ratePerSecond());
		double allowed = (QUOTA.ratePerSecond() * 8 + QUOTA.burst()) * (1 + OVERSHOOT_RATIO) + OVERSHOOT_AMOUNT;
		assertThat(maximum).isLessThan(allowed);
	}

	private static final class Fleet {

		private static final int STEPS_PER_SECOND = 100;

		private static final int STEPS_PER_REPORT = 25;

		private final SplittableRandom random = new SplittableRandom(7);

		private final List<QuotaLimiter> limiters = new ArrayList<>();

		private final double[] reported;

		private boolean partitioned;

		private Fleet(int size) {
			for (int i = 0; i < size; i++) {
				this.limiters.add(new QuotaLimiter(QUOTA, 0));
			}
			this.reported = new double[size];
		}

		private void partition() {
			this.partitioned = true;
			this.limiters.forEach((limiter) -> limiter.setReachableShare(0.5));
		}

		private boolean canReach(int one, int other) {
			return !this.partitioned || (one % 2) == (other % 2);
		}

		// Simulates 40 s after 10 s without requests, and returns the maximum usage
		// accepted in a window.
		private double maximumInWindow(int windowSeconds, double offeredPerSecond) {
			double[] accepted = new double[50 * STEPS_PER_SECOND];
			for (int step = 10 * STEPS_PER_SECOND; step < accepted.length; step++) {
				long now = step * SECOND / STEPS_PER_SECOND;
				double offered = offeredPerSecond / STEPS_PER_SECOND;
				while (offered > 0) {
					double cost = 2000 + this.random.nextInt(20_000);
					int gateway = this.random.nextBoolean() ? 0 : this.random.nextInt(this.limiters.size());
					accepted[step] += this.limiters.get(gateway).tryAcquire(cost, now) ? cost : 0;
					offered -= cost;
				}
				if (step % STEPS_PER_REPORT == 0) {
					exchangeReports(now);
				}
			}
			double maximum = 0;
			for (int end = windowSeconds * STEPS_PER_SECOND; end < accepted.length; end++) {
				double sum = 0;
				for (int step = end - windowSeconds * STEPS_PER_SECOND; step < end; step++) {
					sum += accepted[step];
				}
				maximum = Math.max(maximum, sum);
			}
			return maximum;
		}

		private void exchangeReports(long now) {
			for (int from = 0; from < this.limiters.size(); from++) {
				double unreported = this.limiters.get(from).used() - this.reported[from];
				this.reported[from] += unreported;
				for (int to = 0; to < this.limiters.size(); to++) {
					if (to != from && canReach(from, to)) {
						this.limiters.get(to).deductRemoteUsage(unreported, now);
					}
				}
			}
		}

	}

}
