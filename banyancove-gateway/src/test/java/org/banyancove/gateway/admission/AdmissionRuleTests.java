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

	private static final Route STREAM_ROUTE = new Route("hints", "h", "/p/", RouteKind.STREAMING, true,
			Duration.ofSeconds(3), Duration.ofMillis(500), Duration.ofMillis(400), 0,
			List.of(new WeightedService(new ServiceName("engines"), 1)), 2, false);

	private final AdmissionRule rule = new AdmissionRule();

	@Test
	void admitsARequestThatIsPredictedToMeetItsTarget() {
		assertThat(retryAfter(400, 0, 3000)).isZero();
	}

	// Guards against admitting a request whose answer would be late, and which would
	// delay the requests queued behind it: the queues of all engines take 1.5 seconds.
	@Test
	void rejectsARequestThatIsPredictedToMissItsTarget() {
		assertThat(retryAfter(1500, 0, 3000)).isEqualTo(Duration.ofMillis(1250));
	}

	@Test
	void includesTheTimeThatARequestHasWaited() {
		assertThat(retryAfter(400, 300, 2700)).isPositive();
	}

	@Test
	void rejectsARequestThatIsPredictedToExceedItsDeadline() {
		assertThat(retryAfter(400, 0, 500)).isPositive();
	}

	@Test
	void waitsForAnEndpointAtMostHalfTheTargetOrAQuarterOfTheRemainingTime() {
		assertThat(this.rule.maximumWait(STREAM_ROUTE, Duration.ofSeconds(3))).isEqualTo(Duration.ofMillis(250));
		assertThat(this.rule.maximumWait(STREAM_ROUTE, Duration.ofMillis(400))).isEqualTo(Duration.ofMillis(100));
	}

	// Guards against a request that misses its target because it was placed at an
	// endpoint of a partitioned data centre: the connect timeout must leave time for
	// another one.
	@Test
	void theConnectTimeoutLeavesTimeForAnotherEndpoint() {
		assertThat(this.rule.connectTimeout(STREAM_ROUTE)).isEqualTo(Duration.ofMillis(125));
		assertThat(this.rule.connectTimeout(withTarget(Duration.ofMillis(100)))).isEqualTo(Duration.ofMillis(40));
		assertThat(this.rule.connectTimeout(withTarget(Duration.ofSeconds(9)))).isEqualTo(Duration.ofMillis(300));
	}

	// Guards against delaying callers beyond their deadline when a process starts during
	// an outage of the store: a caller with a deadline of 600 ms is rejected after a
	// quarter of it and can retry elsewhere, and a deadline of 15 s is not waited out.
	@Test
	void theStartupWaitLeavesTimeToRetryElsewhere() {
		assertThat(this.rule.maximumStartupWait(Duration.ofMillis(600))).isEqualTo(Duration.ofMillis(150));
		assertThat(this.rule.maximumStartupWait(Duration.ofSeconds(15))).isLessThan(Duration.ofSeconds(1));
		assertThat(this.rule.maximumStartupWait(null)).isLessThan(Duration.ofSeconds(1));
	}

	// Guards against a resumed stream that is rejected for the target of a first event,
	// which its caller already has.
	@Test
	void resumedStreamIsAdmittedIfItCanMeetItsDeadline() {
		assertThat(this.rule.retryAfterResumption(Duration.ofMillis(1400), Duration.ofMillis(2100))).isZero();
		assertThat(this.rule.retryAfterResumption(Duration.ofMillis(1600), Duration.ofMillis(2100))).isPositive();
	}

	private static Route withTarget(Duration target) {
		return new Route("plain", "h", "/q/", RouteKind.NON_IDEMPOTENT, false, Duration.ofSeconds(9), target,
				Duration.ofSeconds(1), 0, STREAM_ROUTE.services(), 1, false);
	}

	private Duration retryAfter(long predicted, long elapsed, long remaining) {
		return this.rule.retryAfter(STREAM_ROUTE, Duration.ofMillis(predicted), Duration.ofMillis(elapsed),
				Duration.ofMillis(remaining));
	}

}
