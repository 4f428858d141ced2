package org.banyancove.core;

/**
 * The identifier of a caller's request, unique across all entry processes.
 *
 * @param value the identifier's text, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public RequestId {
		Identifiers.check("RequestId", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
