package org.banyancove.gateway.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.gateway.admission.QuotaLimiter;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.TokenQuota;
import org.jspecify.annotations.Nullable;

/**
 * The quota limiters of the client accounts.
 */
final class QuotaLimiters {

	private final Map<AccountName, QuotaLimiter> limiters = new HashMap<>();

	private final Map<AccountName, Double> acceptedByRemovedLimiters = new HashMap<>();

	private @Nullable Configuration configuration;

	private double reachableShare = 1;

	/**
	 * Applies a configuration.
	 * @param newConfiguration the configuration
	 * @param now the current time
	 */
	void configure(Configuration newConfiguration, long now) {
		this.configuration = newConfiguration;
		for (AccountName name : Set.copyOf(this.limiters.keySet())) {
			QuotaLimiter limiter = Objects.requireNonNull(this.limiters.get(name));
			TokenQuota quota = quota(name, newConfiguration);
			if (quota == null) {
				this.limiters.remove(name);
				this.acceptedByRemovedLimiters.merge(name, limiter.used(), Double::sum);
			}
			else if (!limiter.quota().equals(quota)) {
				this.limiters.put(name, limiter.withQuota(quota, now));
			}
		}
		newConfiguration.accounts().forEach((account) -> limiter(account.name(), now));
	}

	private static @Nullable TokenQuota quota(AccountName name, Configuration configuration) {
		for (ClientAccount account : configuration.accounts()) {
			if (account.name().equals(name)) {
				return account.quota();
			}
		}
		return null;
	}

	void setReachableShare(double newReachableShare) {
		this.reachableShare = newReachableShare;
		this.limiters.values().forEach((limiter) -> limiter.setReachableShare(newReachableShare));
	}

	/**
	 * Adds the quota usage of another gateway.
	 * @param used the usage since its last report, by client account
	 * @param now the current time
	 */
	void addRemoteUsage(Map<AccountName, Double> used, long now) {
		used.forEach((name, amount) -> {
			QuotaLimiter limiter = limiter(name, now);
			if (limiter != null) {
				limiter.deductRemoteUsage(amount, now);
			}
		});
	}

	/**
	 * Returns the quota usage accepted by this gateway since its start.
	 * @return the totals by client account
	 */
	Map<AccountName, Double> used() {
		Map<AccountName, Double> sums = new HashMap<>(this.acceptedByRemovedLimiters);
		this.limiters.forEach((name, limiter) -> sums.merge(name, limiter.used(), Double::sum));
		return sums;
	}

	/**
	 * Returns the limiter of an account.
	 * @param name the account
	 * @param now the current time
	 * @return the limiter, or {@code null} if the account has no quota
	 */
	@Nullable QuotaLimiter limiter(AccountName name, long now) {
		QuotaLimiter existing = this.limiters.get(name);
		if (existing != null || this.configuration == null) {
			return existing;
		}
		TokenQuota quota = quota(name, this.configuration);
		if (quota == null) {
			return null;
		}
		QuotaLimiter created = new QuotaLimiter(quota, now);
		created.setReachableShare(this.reachableShare);
		this.limiters.put(name, created);
		return created;
	}

	/**
	 * Returns the time in which an account's quota covers a request. For a request
	 * without a quota, it is the mean of what the accounts with quotas need.
	 * @param account the account, or {@code null} for an anonymous request
	 * @param tokens the request's prompt and output tokens, or 0 if it states none
	 * @return the time in s; the tokens if no account has a quota
	 */
	double quotaSeconds(@Nullable ClientAccount account, long tokens) {
		if (account != null && account.quota() != null) {
			return quotaSeconds(account.quota(), tokens);
		}
		double sum = 0;
		for (QuotaLimiter limiter : this.limiters.values()) {
			sum += quotaSeconds(limiter.quota(), tokens);
		}
		return this.limiters.isEmpty() ? Math.max(1.0, (double) tokens) : sum / this.limiters.size();
	}

	private static double quotaSeconds(TokenQuota quota, long tokens) {
		return quota.costOf(tokens) / quota.ratePerSecond();
	}

}
