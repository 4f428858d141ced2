package org.banyancove.core;

/**
 * The name of a service that callers address: a model or a plain service.
 *
 * @param value the identifier's text, never blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public ServiceName {
		Identifiers.check("ServiceName", value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	// Explicit since identifiers are the keys of most maps: the methods generated for a
	// record are linked at their first call, which takes some milliseconds at the
	// start of a process.
	@Override
	public boolean equals(Object other) {
		return other instanceof ServiceName that && this.value.equals(that.value);
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
