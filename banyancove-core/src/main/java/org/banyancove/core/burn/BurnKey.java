package org.banyancove.core.burn;

import java.util.Comparator;

import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;
import org.jspecify.annotations.Nullable;

/**
 * The profile and account for which burn is measured.
 *
 * @param profile the profile
 * @param account the account, or {@code null} for all accounts together
 */
public record BurnKey(ProfileName profile, @Nullable AccountName account) implements Comparable<BurnKey> {

	private static final Comparator<BurnKey> ORDER = Comparator.comparing(BurnKey::profile)
		.thenComparing(BurnKey::accountLabel);

	/**
	 * Returns the display name of the account.
	 * @return the account's name, or {@code *} for all accounts
	 */
	public String accountLabel() {
		return (this.account != null) ? this.account.value() : "*";
	}

	@Override
	public int compareTo(BurnKey other) {
		return ORDER.compare(this, other);
	}

}
