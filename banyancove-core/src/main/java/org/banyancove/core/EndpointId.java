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

	// Explicit since identifiers are the keys of most maps: the methods generated for a
	// record are linked at their first call, which takes some milliseconds at the
	// start of a process.
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
