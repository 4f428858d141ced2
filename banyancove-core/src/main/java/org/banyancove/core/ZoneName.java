package org.banyancove.core;

/**
 * The name of a zone, within which VMs are reclaimed together.
 *
 * @param value the identifier's text, never blank
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public ZoneName {
		Identifiers.check("ZoneName", value);
	}

	@Override
	public int compareTo(ZoneName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
