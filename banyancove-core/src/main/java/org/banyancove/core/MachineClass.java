package org.banyancove.core;

/**
 * The platform's name of a machine class, which determines speed and price.
 *
 * @param value the identifier's text, never blank
 */
public record MachineClass(String value) implements Comparable<MachineClass> {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank or too long
	 */
	public MachineClass {
		Identifiers.check("MachineClass", value);
	}

	@Override
	public int compareTo(MachineClass other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
