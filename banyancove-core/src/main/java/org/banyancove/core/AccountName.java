package org.banyancove.core;

/**
 * The name of a client account, as configured by the operators.
 *
 * @param value the identifier's text, never blank
 */
public record AccountName(String value) implements Comparable<AccountName> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public AccountName {
		Identifiers.check("AccountName", value);
	}

	@Override
	public int compareTo(AccountName other) {
		return this.value.compareTo(other.value);
	}

	// Explicit since identifiers are the keys of most maps: the methods generated for a
	// record are linked at their first call, which takes some milliseconds at the
	// start of a process.
	@Override
	public boolean equals(Object other) {
		return other instanceof AccountName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
