package org.banyancove.core.profile;

import java.time.Duration;

import org.banyancove.core.ProfileName;

/**
 * The service level of a class of traffic.
 *
 * @param name the profile's name
 * @param firstTokenTarget the target for the time to the first token, or to the answer of
 * a plain service
 * @param tokenTarget the target for the time between tokens
 * @param deadline the time after which an answer is useless
 * @param objective the objective for the share of requests that meet the targets, above 0
 * and below 1
 * @param priority the priority at engines, where 0 is the highest
 * @param policy the placement policy
 * @param retryRatio the number of retries allowed per first attempt
 * @param accountShare the maximum share of a service's capacity that one account may use
 * while others wait, above 0 and at most 1
 * @param keyRequired whether a call that must not be repeated requires an idempotency key
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 */
public record Profile(ProfileName name, Duration firstTokenTarget, Duration tokenTarget, Duration deadline,
		double objective, int priority, PlacementPolicyName policy, double retryRatio, double accountShare,
		boolean keyRequired, int maximumBodyBytes) {

	/**
	 * Creates the profile.
	 * @throws IllegalArgumentException if a field is out of its range
	 */
	public Profile {
		checkPositive("firstTokenTarget", firstTokenTarget);
		checkPositive("tokenTarget", tokenTarget);
		checkPositive("deadline", deadline);
		check(objective > 0 && objective < 1, "objective", "be above 0 and below 1", objective);
		check(priority >= 0 && priority <= 9, "priority", "be from 0 to 9", priority);
		check(retryRatio >= 0 && retryRatio <= 1, "retryRatio", "be from 0 to 1", retryRatio);
		check(accountShare > 0 && accountShare <= 1, "accountShare", "be above 0 and at most 1", accountShare);
		check(maximumBodyBytes > 0, "maximumBodyBytes", "be positive", maximumBodyBytes);
	}

	private static void checkPositive(String field, Duration value) {
		check(value.isPositive(), field, "be positive", value);
	}

	private static void check(boolean valid, String field, String requirement, Object value) {
		if (!valid) {
			throw new IllegalArgumentException(field + " must " + requirement + ": " + value);
		}
	}

}
