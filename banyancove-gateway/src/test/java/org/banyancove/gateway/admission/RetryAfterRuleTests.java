package org.banyancove.gateway.admission;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RetryAfterRuleTests {

	private final RetryAfterRule rule = new RetryAfterRule();

	// Guards against a wave of callers that are rejected together and return together.
	@Test
	void callersOfAWaveReturnOneAfterTheOtherAtTheDrainRate() {
		assertThat(next(600, 0)).isEqualTo(Duration.ofMillis(600));
		assertThat(next(600, 0)).isEqualTo(Duration.ofMillis(700));
		assertThat(next(600, 50)).isEqualTo(Duration.ofMillis(750));
		assertThat(next(600, 5000)).isEqualTo(Duration.ofMillis(600));
	}

	@Test
	void timesAndTheirSpreadAreBounded() {
		assertThat(next(10, 0)).isEqualTo(Duration.ofMillis(200));
		Duration longest = Duration.ZERO;
		for (int i = 0; i < 1000; i++) {
			Duration time = next(60_000, 0);
			longest = (time.compareTo(longest) > 0) ? time : longest;
		}
		assertThat(longest).isBetween(Duration.ofMillis(7900), Duration.ofMillis(8000));
	}

	@Test
	void withoutADrainRateTheTimeIsOnlyBounded() {
		assertThat(this.rule.next(Duration.ofMillis(600), 100, 0, 0)).isEqualTo(Duration.ofMillis(600));
		assertThat(this.rule.next(Duration.ofMillis(600), 100, 0, 0)).isEqualTo(Duration.ofMillis(600));
	}

	@Test
	void invalidInputIsRejectedByName() {
		assertThatIllegalArgumentException().isThrownBy(() -> this.rule.next(Duration.ZERO, -1, 1, 0))
			.withMessage("workMillis must not be negative: -1.0");
	}

	private Duration next(long untilDoneMillis, long nowMillis) {
		return this.rule.next(Duration.ofMillis(untilDoneMillis), 100, 1000, nowMillis * 1_000_000);
	}

}
