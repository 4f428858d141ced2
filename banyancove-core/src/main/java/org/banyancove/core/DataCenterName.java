package org.banyancove.core;

/**
 * The name of a data center.
 *
 * @param value the identifier's text, never blank
 */
public record DataCenterName(String value) implements Comparable<DataCenterName> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public DataCenterName {
		Identifiers.check("DataCenterName", value);
	}

	@Override
	public int compareTo(DataCenterName other) {
		return this.value.compareTo(other.value);
	}

	// Explicit since identifiers are the keys of most maps: the methods generated for a
	// record are linked at their first call, which takes some milliseconds at the
	// start of a process.
	@Override
	public boolean equals(Object other) {
		return other instanceof DataCenterName that && this.value.equals(that.value);
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
