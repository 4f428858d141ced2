package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

import org.banyancove.core.EndpointId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link EndpointRateLimiter} and {@link FleetAllocation}.
 */
class EndpointRateLimiterTests {

	private static final EndpointId ENDPOINT = new EndpointId("e");

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final List<String> names = IntStream.range(0, 87).mapToObj((number) -> "gateway-" + number).toList();

	private final EndpointRateLimiter limiter = new EndpointRateLimiter(ENDPOINT,
			new FleetAllocation("own", () -> List.of("own")));

	// Guards against a limit that is allocated twice, or not allocated in full.
	@ParameterizedTest
	@ValueSource(doubles = { 0.3, 1, 5.5, 40, 1000 })
	void theSharesOfAllGatewaysAddUpToTheLimit(double requestsPerSecond) {
		double sum = this.names.stream().mapToDouble((name) -> share(name, requestsPerSecond, 0)).sum();
		assertThat(sum).isCloseTo(requestsPerSecond, within(1e-6));
	}

	// Guards against a limit whose end is never observed because the gateways that have a
	// share are down.
	@Test
	void anotherRotationGivesSharesToOtherGateways() {
		List<String> first = this.names.stream().filter((name) -> share(name, 1, 0) > 0).toList();
		List<String> second = this.names.stream().filter((name) -> share(name, 1, 1) > 0).toList();
		assertThat(first).hasSize(3).isNotEqualTo(second);
	}

	private double share(String name, double requestsPerSecond, long rotation) {
		return new FleetAllocation(name, () -> this.names).share(ENDPOINT, requestsPerSecond, rotation);
	}

	@Test
	void theBucketStartsEmptyAndFillsAtTheLimit() {
		assertThat(this.limiter.observe(2.0, 0, 0)).isTrue();
		assertThat(this.limiter.permits(SECOND / 4)).isFalse();
		assertThat(this.limiter.retryAfter(SECOND / 4)).isCloseTo(Duration.ofMillis(250), Duration.ofMillis(1));
		assertThat(this.limiter.permits(SECOND / 2)).isTrue();
		this.limiter.sent(SECOND / 2);
		assertThat(this.limiter.permits(SECOND / 2)).isFalse();
	}

	// Guards against a delayed report that overrides a later observation.
	@Test
	void anOlderObservationIsIgnored() {
		this.limiter.observe(2.0, SECOND, SECOND);
		assertThat(this.limiter.observe(null, SECOND / 2, 2 * SECOND)).isFalse();
		assertThat(this.limiter.permits(SECOND)).isFalse();
		assertThat(this.limiter.observe(null, 2 * SECOND, 2 * SECOND)).isTrue();
		assertThat(this.limiter.permits(2 * SECOND)).isTrue();
	}

	@Test
	void theEndOfALimitIsReportedForAWhile() {
		assertThat(this.limiter.observed(0)).isNull();
		this.limiter.observe(2.0, 0, 0);
		assertThat(this.limiter.observed(SECOND)).isEqualTo(new ObservedRateLimit(2.0, Duration.ofSeconds(1)));
		this.limiter.observe(null, 2 * SECOND, 2 * SECOND);
		assertThat(Objects.requireNonNull(this.limiter.observed(3 * SECOND)).requestsPerSecond()).isNull();
		assertThat(this.limiter.observed(60 * SECOND)).isNull();
	}

}
