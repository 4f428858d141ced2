package org.banyancove.entry.caller;

import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Authenticates callers by the bearer credentials of the settings.
 */
public final class Accounts {

	private static final String BEARER_PREFIX = "Bearer ";

	private final Map<String, AccountName> byCredential;

	/**
	 * Creates the table.
	 * @param byCredential the accounts by bearer credential
	 */
	public Accounts(Map<String, AccountName> byCredential) {
		this.byCredential = Map.copyOf(byCredential);
	}

	AccountName authenticate(@Nullable String authorization) {
		if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
			throw new BanyancoveException(ErrorKind.ACCOUNT_UNKNOWN, "header 'Authorization: Bearer …' is missing");
		}
		AccountName account = this.byCredential.get(authorization.substring(BEARER_PREFIX.length()));
		if (account == null) {
			throw new BanyancoveException(ErrorKind.ACCOUNT_UNKNOWN, "the credential belongs to no account");
		}
		return account;
	}

}
