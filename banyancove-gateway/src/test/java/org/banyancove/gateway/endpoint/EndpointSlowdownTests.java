package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

class EndpointSlowdownTests {

	private static final long START = Duration.ofMinutes(1).toNanos();

	private final EndpointSlowdown slowdown = new EndpointSlowdown();

	@Test
	void isOneWithoutAnnouncement() {
		assertThat(this.slowdown.announced()).isFalse();
		assertThat(this.slowdown.current(START)).isEqualTo(1);
		assertThat(this.slowdown.observed(7, START)).isNull();
	}

	@Test
	void theAnnouncedValueReturnsToOne() {
		this.slowdown.announce(2.5, START);
		assertThat(this.slowdown.current(START)).isEqualTo(2.5);
		assertThat(this.slowdown.current(after(600))).isCloseTo(1 + 1.5 / Math.E, within(1e-9));
		assertThat(this.slowdown.current(after(5000))).isCloseTo(1, within(1e-3));
		assertThat(this.slowdown.slowed(after(600))).isTrue();
		assertThat(this.slowdown.slowed(after(700))).isFalse();
		assertThat(this.slowdown.announced()).isTrue();
	}

	// Guards against an endpoint that is used or avoided by a report that was delayed
	// and contradicts what is known since.
	@Test
	void aReportOlderThanTheKnownValueIsIgnored() {
		this.slowdown.announce(1, after(500));
		this.slowdown.observe(2.5, Duration.ofMillis(600), after(1000));
		assertThat(this.slowdown.current(after(1000))).isEqualTo(1);
		this.slowdown.observe(2.5, Duration.ofMillis(400), after(1000));
		assertThat(this.slowdown.current(after(600))).isEqualTo(2.5);
		this.slowdown.observe(1, Duration.ofMillis(450), after(1000));
		assertThat(this.slowdown.current(after(600))).isEqualTo(2.5);
	}

	// Guards against values that stay in the fleet because gateways repeat what they
	// heard from each other.
	@Test
	void onlyRecentAnnouncementsToThisGatewayAreReported() {
		this.slowdown.observe(2.5, Duration.ZERO, START);
		assertThat(this.slowdown.observed(7, START)).isNull();
		this.slowdown.announce(1.5, START);
		this.slowdown.observe(3, Duration.ZERO, after(50));
		assertThat(Objects.requireNonNull(this.slowdown.observed(7, after(100))))
			.isEqualTo(new ObservedSlowdown(1.5, Duration.ofMillis(100), 7));
		assertThat(this.slowdown.observed(7, after(1001))).isNull();
	}

	@Test
	void valuesAreBounded() {
		this.slowdown.announce(0.01, START);
		assertThat(this.slowdown.current(START)).isCloseTo(0.2, within(1e-12));
		this.slowdown.observe(1000, Duration.ZERO, after(1));
		assertThat(this.slowdown.current(after(1))).isCloseTo(20, within(1e-12));
		this.slowdown.observe(5, Duration.ofSeconds(Long.MAX_VALUE), after(2));
		assertThat(this.slowdown.current(after(1))).isCloseTo(20, within(1e-12));
	}

	@Test
	void invalidValuesAreRejectedAndChangeNothing() {
		this.slowdown.announce(2, START);
		assertThatIllegalArgumentException().isThrownBy(() -> this.slowdown.announce(Double.NaN, START))
			.withMessage("value must be positive: NaN");
		assertThatIllegalArgumentException().isThrownBy(() -> this.slowdown.announce(0, START))
			.withMessage("value must be positive: 0.0");
		assertThatIllegalArgumentException().isThrownBy(() -> this.slowdown.observe(2, Duration.ofNanos(-1), after(1)))
			.withMessage("age must not be negative: PT-0.000000001S");
		assertThat(this.slowdown.current(START)).isEqualTo(2);
	}

	private static long after(long millis) {
		return START + Duration.ofMillis(millis).toNanos();
	}

}
