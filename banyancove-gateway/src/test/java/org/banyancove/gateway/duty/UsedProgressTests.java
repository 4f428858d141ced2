package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UsedProgressTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final long STEP = Duration.ofMillis(250).toNanos();

	private final UsedProgress progress = new UsedProgress(Duration.ofMillis(1500));

	private long now;

	// Guards against an account that is charged twice, once for each aggregator that
	// reports the same gateways.
	@Test
	void whatTwoSendersReportIsChargedOnce() {
		assertThat(update(1, 1000)).isZero();
		assertThat(update(2, 50)).isZero();
		assertThat(update(1, 1100)).isEqualTo(100);
		assertThat(update(2, 150)).isZero();
		assertThat(update(2, 180)).isEqualTo(30);
		assertThat(update(1, 1130)).isZero();
	}

	// Guards against requests over the quota while one of the two aggregators is dead.
	@Test
	void whatTheLastSenderReportsIsChargedOn() {
		update(1, 1000);
		update(2, 50);
		update(1, 1100);
		assertThat(update(2, 400)).isEqualTo(250);
	}

	// Guards against a sender that missed reports, stays behind and hides what is
	// accepted
	// after the other one is gone.
	@Test
	void whoStayedBehindIsAlignedAnewWhenTheOtherIsForgotten() {
		update(1, 1000);
		update(2, 50);
		update(1, 5000);
		assertThat(update(2, 60)).isZero();
		this.progress.forget(1);
		update(2, 70);
		assertThat(update(2, 90)).isEqualTo(20);
	}

	// Guards against a first use of an account that is charged twice.
	@Test
	void anAccountThatIsNewIsChargedOnce() {
		this.progress.update(1, Map.of(), 0);
		this.progress.update(2, Map.of(), 0);
		assertThat(update(1, 300)).isEqualTo(300);
		assertThat(update(2, 300)).isZero();
	}

	private double update(long sender, double sum) {
		this.now += STEP;
		return this.progress.update(sender, Map.of(ACCOUNT, sum), this.now).getOrDefault(ACCOUNT, 0.0);
	}

}
