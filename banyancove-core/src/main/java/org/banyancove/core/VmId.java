package org.banyancove.core;

/**
 * The platform's identifier of a VM.
 *
 * @param value the identifier's text, never blank
 */
public record VmId(String value) implements Comparable<VmId> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public VmId {
		Identifiers.check("VmId", value);
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
