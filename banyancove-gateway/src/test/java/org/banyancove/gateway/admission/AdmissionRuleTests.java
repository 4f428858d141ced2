package org.banyancove.gateway.admission;

import java.time.Duration;
import java.util.List;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionRuleTests {

	private static final Route HINTS = new Route("hints", "h", "/p/", RouteKind.STREAMING, true, Duration.ofSeconds(3),
			Duration.ofMillis(500), Duration.ofMillis(400), 0,
			List.of(new WeightedService(new ServiceName("engines"), 1)), 2, false);

	private final AdmissionRule rule = new AdmissionRule();

	@Test
	void sendsWhatIsPredictedInTime() {
		assertThat(retryAfter(400, 0, 3000)).isZero();
	}

	// The queues of all engines are a second and a half long. A caller that waited for
	// one would get its answer late, and make those behind it late; it is told at once.
	@Test
	void turnsAwayAtOnceWhatIsPredictedLate() {
		assertThat(retryAfter(1500, 0, 3000)).isEqualTo(Duration.ofMillis(1250));
	}

	@Test
	void countsTheTimeThatARequestHasWaited() {
		assertThat(retryAfter(400, 300, 2700)).isPositive();
	}

	@Test
	void turnsAwayWhatItsCallerWouldNotWaitFor() {
		assertThat(retryAfter(400, 0, 500)).isPositive();
	}

	@Test
	void waitsForAnEndpointNoLongerThanHalfTheTargetOrAQuarterOfTheTimeLeft() {
		assertThat(this.rule.maximumWait(HINTS, Duration.ofSeconds(3))).isEqualTo(Duration.ofMillis(250));
		assertThat(this.rule.maximumWait(HINTS, Duration.ofMillis(400))).isEqualTo(Duration.ofMillis(100));
	}

	// A data centre is cut off, and a request is placed at one of its endpoints.
	// Connecting to it must leave time for an endpoint that answers, within the request's
	// target.
	@Test
	void connectingLeavesTimeForAnotherEndpoint() {
		assertThat(this.rule.connectTimeout(HINTS)).isEqualTo(Duration.ofMillis(125));
		assertThat(this.rule.connectTimeout(withTarget(Duration.ofMillis(100)))).isEqualTo(Duration.ofMillis(40));
		assertThat(this.rule.connectTimeout(withTarget(Duration.ofSeconds(9)))).isEqualTo(Duration.ofMillis(300));
	}

	// A process starts while the store is away. A caller that waits for 600 ms is told
	// after a quarter of it, and goes elsewhere; one that waits for 15 s is not held so
	// long.
	@Test
	void aCallerIsHeldAtAStartOnlyAsLongAsItCanStillGoElsewhere() {
		assertThat(this.rule.maximumStartupWait(Duration.ofMillis(600))).isEqualTo(Duration.ofMillis(150));
		assertThat(this.rule.maximumStartupWait(Duration.ofSeconds(15))).isLessThan(Duration.ofSeconds(1));
		assertThat(this.rule.maximumStartupWait(null)).isLessThan(Duration.ofSeconds(1));
	}

	private static Route withTarget(Duration target) {
		return new Route("plain", "h", "/q/", RouteKind.NON_IDEMPOTENT, false, Duration.ofSeconds(9), target,
				Duration.ofSeconds(1), 0, HINTS.services(), 1, false);
	}

	private Duration retryAfter(long predicted, long elapsed, long remaining) {
		return this.rule.retryAfter(HINTS, Duration.ofMillis(predicted), Duration.ofMillis(elapsed),
				Duration.ofMillis(remaining));
	}

}
