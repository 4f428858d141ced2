package org.banyancove.gateway.configuration;

import java.util.List;

import org.banyancove.core.AccountName;
import org.jspecify.annotations.Nullable;

/**
 * A client account: who sends requests, by which keys, and how much.
 *
 * @param name its name
 * @param keys the keys that are valid now
 * @param priority the rank of its requests, or {@code null} for the route's
 * @param quota what it may use, or {@code null} for no limit
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
