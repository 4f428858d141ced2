package org.banyancove.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTests {

	private static final ServiceName SERVICE = new ServiceName("orders");

	private static final Profile PROFILE = new Profile(new ProfileName("orders"), Duration.ofSeconds(1),
			Duration.ofMillis(41), Duration.ofSeconds(10), 0.95, 1, PlacementPolicyName.COST_AT_TARGET, 0.1, 0.5, true,
			1 << 20);

	private static final Set<EndpointId> FAILED = Set.of(new EndpointId("a"));

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private final RetryPolicy policy = new RetryPolicy((InstantSource) () -> this.now);

	@Test
	void nonRepeatableCallIsRetriedOnlyIfKnownNotRun() {
		RetryDecision.GiveUp givenUp = (RetryDecision.GiveUp) this.policy.decide(failed(false, false, 1));
		assertThat(givenUp.kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
		assertThat(this.policy.decide(failed(false, true, 1))).isEqualTo(new RetryDecision.Retry(FAILED));
	}

	@Test
	void attemptsAndTimeAreBounded() {
		assertThat(this.policy.decide(failed(true, false, 3))).isInstanceOf(RetryDecision.GiveUp.class);
		RetryRequest request = failed(true, false, 1);
		this.now = this.now.plusSeconds(10);
		assertThat(this.policy.decide(request)).isInstanceOf(RetryDecision.GiveUp.class);
	}

	// All endpoints fail and the budget is exhausted. Each caller then immediately
	// receives a retry delay after which the first attempts of others, 20 ms apart, have
	// earned a retry.
	@Test
	void retryDelayOfExhaustedBudgetFollowsItsReplenishmentRate() {
		for (int i = 0; i < 200; i++) {
			this.policy.firstAttempt(SERVICE, PROFILE);
			this.now = this.now.plusMillis(20);
		}
		RetryDecision decision = this.policy.decide(failed(true, false, 1));
		while (decision instanceof RetryDecision.Retry) {
			decision = this.policy.decide(failed(true, false, 1));
		}
		assertThat(this.policy.budget(SERVICE).orElseThrow().retries()).isEqualTo(23);
		assertThat(((RetryDecision.GiveUp) decision).retryAfter()).isBetween(Duration.ofMillis(190),
				Duration.ofMillis(210));
	}

	// Guards against losing accepted work with an exhausted budget: a VM with fifty
	// requests is lost without a reclaim notice, with three retries in the budget. All
	// fifty are retried, each at most twice.
	@Test
	void requestsOfLostEndpointAreRetriedBeyondTheBudget() {
		RetryRequest lost = new RetryRequest(SERVICE, PROFILE, true, false, true, FAILED, 1, this.now);
		for (int i = 0; i < 50; i++) {
			assertThat(this.policy.decide(lost)).isInstanceOf(RetryDecision.Retry.class);
		}
		assertThat(this.policy.budget(SERVICE).orElseThrow().retries()).isZero();
		RetryRequest third = new RetryRequest(SERVICE, PROFILE, true, false, true, FAILED, 3, this.now);
		assertThat(this.policy.decide(third)).isInstanceOf(RetryDecision.GiveUp.class);
	}

	private RetryRequest failed(boolean repeatable, boolean knownNotRun, int attempts) {
		return new RetryRequest(SERVICE, PROFILE, repeatable, knownNotRun, FAILED, attempts, this.now);
	}

}
