package org.banyancove.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.Profile;

/**
 * Decides whether a failed attempt is retried: only if a retry is safe, before the
 * deadline and within the service's budget, and never at an endpoint that failed the
 * request.
 * <p>
 * Moving a request away from a leaving endpoint is not a retry and does not consume the
 * budget: accepted work survives an announced reclaim, and the leaving endpoint no longer
 * bears the load. Confined to the tick loop; not thread-safe.
 */
public final class RetryPolicy {

	/**
	 * With more attempts, a request that no endpoint can serve would occupy many
	 * endpoints.
	 */
	private static final int MAXIMUM_ATTEMPTS = 3;

	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);

	private final InstantSource clock;

	private final Map<ServiceName, ServiceBudget> budgets = new HashMap<>();

	/**
	 * Creates the policy.
	 * @param clock the clock
	 */
	public RetryPolicy(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Records a request's first attempt, which earns a fraction of a retry.
	 * @param service the service
	 * @param profile the profile under which the request was accepted
	 */
	public void firstAttempt(ServiceName service, Profile profile) {
		budget(service, profile).firstAttempt(this.clock.instant());
	}

	/**
	 * Decides whether to retry after a failed attempt.
	 * @param request the request whose attempt failed
	 * @return the decision
	 */
	public RetryDecision decide(RetryRequest request) {
		Instant now = this.clock.instant();
		ServiceBudget budget = budget(request.service(), request.profile());
		Duration deadline = request.profile().deadline();
		if (!request.isSafe()) {
			return new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, budget.timeUntilNextRetry(deadline));
		}
		boolean deadlineExpired = !now.isBefore(request.acceptedAt().plus(deadline));
		if (deadlineExpired || request.attempts() >= MAXIMUM_ATTEMPTS || !isWithinBudget(request, budget)) {
			return new RetryDecision.GiveUp(ErrorKind.ENDPOINT_FAILED, budget.timeUntilNextRetry(deadline));
		}
		return new RetryDecision.Retry(request.failedAt());
	}

	/**
	 * Returns a service's budget.
	 * @param service the service
	 * @return the budget, empty before the service's first attempt
	 */
	public Optional<RetryBudget> budget(ServiceName service) {
		return Optional.ofNullable(this.budgets.get(service)).map((budget) -> budget.budget);
	}

	private static boolean isWithinBudget(RetryRequest request, ServiceBudget budget) {
		return request.endpointLost() || budget.tryRetry();
	}

	private ServiceBudget budget(ServiceName service, Profile profile) {
		ServiceBudget budget = this.budgets.computeIfAbsent(service, (name) -> new ServiceBudget(profile.retryRatio()));
		budget.changeRatio(profile.retryRatio());
		return budget;
	}

	/**
	 * A budget and the rate at which it is replenished.
	 */
	private static final class ServiceBudget {

		private static final double MEAN_WEIGHT = 0.05;

		private final RetryBudget budget;

		private double ratio;

		private Instant lastFirstAttempt = Instant.EPOCH;

		private double meanIntervalNanos;

		ServiceBudget(double ratio) {
			this.budget = new RetryBudget(ratio);
			this.ratio = ratio;
		}

		void changeRatio(double newRatio) {
			this.ratio = newRatio;
			this.budget.changeRatio(newRatio);
		}

		void firstAttempt(Instant now) {
			if (!this.lastFirstAttempt.equals(Instant.EPOCH)) {
				double interval = Duration.between(this.lastFirstAttempt, now).toNanos();
				this.meanIntervalNanos += MEAN_WEIGHT * (interval - this.meanIntervalNanos);
			}
			this.lastFirstAttempt = now;
			this.budget.firstAttempt();
		}

		boolean tryRetry() {
			return this.budget.tryRetry();
		}

		/**
		 * Returns the time until the budget has earned the next retry.
		 * @param maximum the maximum time to return
		 * @return the time, or the mean interval of first attempts if a retry is
		 * available; at least the minimum retry delay
		 */
		Duration timeUntilNextRetry(Duration maximum) {
			double missingRetries = Math.max(0, 1 - this.budget.available());
			double nanos = ((missingRetries == 0) ? this.meanIntervalNanos
					: missingRetries * this.meanIntervalNanos / this.ratio);
			Duration minimum = ((maximum.compareTo(MINIMUM_RETRY_AFTER) < 0) ? maximum : MINIMUM_RETRY_AFTER);
			if (!(nanos < maximum.toNanos())) {
				return maximum;
			}
			return Duration.ofNanos(Math.max(minimum.toNanos(), Math.round(nanos)));
		}

	}

}
