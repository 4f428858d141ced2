package org.banyancove.gateway.waiting;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DrainRateTests {

	private static final long START = -3_000_000_000L;

	private final DrainRate rate = new DrainRate(START);

	// Guards against rejections after a start or an idle time, whose rate says nothing
	// about how fast the endpoints take requests.
	@Test
	void isUnknownUntilWorkWasStartedForASecond() {
		assertThat(this.rate.millisPerSecond(START)).isZero();
		record(0, 900);
		assertThat(this.rate.millisPerSecond(at(900))).isZero();
		record(900, 1200);
		assertThat(this.rate.millisPerSecond(at(1200))).isCloseTo(500, within(30.0));
		assertThat(this.rate.millisPerSecond(at(2500))).isZero();
		record(2500, 2600);
		assertThat(this.rate.millisPerSecond(at(2600))).isZero();
	}

	@Test
	void coversTheLastSecond() {
		record(0, 3000);
		this.rate.record(1000, at(3000));
		assertThat(this.rate.millisPerSecond(at(3000))).isCloseTo(1500, within(30.0));
		record(3000, 4100);
		assertThat(this.rate.millisPerSecond(at(4100))).isCloseTo(500, within(30.0));
	}

	private void record(int fromMillis, int toMillis) {
		for (int milli = fromMillis; milli < toMillis; milli += 10) {
			this.rate.record(5, at(milli));
		}
	}

	private static long at(int millis) {
		return START + millis * 1_000_000L;
	}

}
