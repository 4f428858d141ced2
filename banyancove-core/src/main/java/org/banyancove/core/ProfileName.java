package org.banyancove.core;

/**
 * The name of a published profile.
 *
 * @param value the identifier's text, never blank
 */
public record ProfileName(String value) implements Comparable<ProfileName> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public ProfileName {
		Identifiers.check("ProfileName", value);
	}

	@Override
	public int compareTo(ProfileName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
