package org.banyancove.core;

/**
 * The identifier of an endpoint: one engine or one plain service process.
 *
 * @param value the identifier's text, never blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public EndpointId {
		Identifiers.check("EndpointId", value);
	}

	@Override
	public int compareTo(EndpointId other) {
		return this.value.compareTo(other.value);
	}

	// The methods that a record generates are linked at their first call, which takes
	// some
	// ms of a process's start, and identifiers are the keys of most maps.
	@Override
	public boolean equals(Object other) {
		return other instanceof EndpointId that && this.value.equals(that.value);
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
