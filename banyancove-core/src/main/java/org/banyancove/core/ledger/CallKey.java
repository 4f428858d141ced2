package org.banyancove.core.ledger;

import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;

/**
 * The identity of a non-repeatable call: the caller's idempotency key within its account
 * and service.
 *
 * @param account the account of the caller
 * @param service the called service
 * @param key the idempotency key, never blank
 */
public record CallKey(AccountName account, ServiceName service, String key) {

	private static final int MAXIMUM_LENGTH = 200;

	/**
	 * Creates the key.
	 * @throws IllegalArgumentException if {@code key} is blank or too long
	 */
	public CallKey {
		if (key.isBlank() || key.length() > MAXIMUM_LENGTH) {
			throw new IllegalArgumentException("key must have 1 to " + MAXIMUM_LENGTH + " characters: '" + key + "'");
		}
	}

	@Override
	public String toString() {
		return this.account + "/" + this.service + "/" + this.key;
	}

}
