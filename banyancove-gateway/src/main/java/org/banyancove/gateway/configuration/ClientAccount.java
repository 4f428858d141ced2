package org.banyancove.gateway.configuration;

import java.util.List;

import org.banyancove.core.AccountName;
import org.jspecify.annotations.Nullable;

/**
 * A client account with its keys, priority and quota.
 *
 * @param name the account's name
 * @param keys the valid keys
 * @param priority the priority of its requests, or {@code null} for the route's
 * @param quota the account's quota, or {@code null} for no limit
 */
public record ClientAccount(AccountName name, List<String> keys, @Nullable Integer priority,
		@Nullable TokenQuota quota) {

	/**
	 * Creates the account.
	 */
	public ClientAccount {
		keys = List.copyOf(keys);
	}

}
