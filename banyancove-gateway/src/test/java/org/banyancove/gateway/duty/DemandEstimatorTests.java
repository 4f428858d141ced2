package org.banyancove.gateway.duty;

import java.time.Duration;

import org.banyancove.core.ServiceName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DemandEstimatorTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final Duration INTERVAL = Duration.ofMillis(20);

	private final DemandEstimator estimator = new DemandEstimator();

	// Guards against endpoints that are ordered seconds late when traffic begins at its
	// full rate: 18,000 ms in a second were estimated as 6,300 after 0.8 s.
	@Test
	void theRateIsKnownHalfASecondAfterTheFirstRequest() {
		addFor(Duration.ofMillis(500), 360);
		assertThat(demandAt(Duration.ofMillis(500))).isCloseTo(18_000, within(3_600.0));
		assertThat(demandAt(Duration.ofMillis(500))).isGreaterThan(14_400);
	}

	// Guards against a single request that is mistaken for a high rate.
	@Test
	void aSingleRequestIndicatesNoHighRate() {
		this.estimator.add(SERVICE, 360, 0);
		assertThat(demandAt(Duration.ofMillis(1))).isLessThan(1_000);
	}

	@Test
	void theRateFollowsTrafficThatHasEnded() {
		addFor(Duration.ofSeconds(10), 360);
		assertThat(demandAt(Duration.ofSeconds(10))).isCloseTo(18_000, within(900.0));
		assertThat(demandAt(Duration.ofSeconds(20))).isLessThan(180);
	}

	private void addFor(Duration duration, double millis) {
		for (long now = 0; now < duration.toNanos(); now += INTERVAL.toNanos()) {
			this.estimator.add(SERVICE, millis, now);
		}
	}

	private double demandAt(Duration time) {
		return this.estimator.demandByService(time.toNanos()).getOrDefault(SERVICE, 0.0);
	}

}
