package org.banyancove.core.ledger;

/**
 * The digest that identifies the content of a call: method, path and body.
 *
 * @param value the digest as opaque text, never blank
 */
public record BodyDigest(String value) {

	/**
	 * Creates the digest.
	 * @throws IllegalArgumentException if {@code value} is blank
	 */
	public BodyDigest {
		if (value.isBlank()) {
			throw new IllegalArgumentException("value must not be blank: '" + value + "'");
		}
	}

	@Override
	public String toString() {
		return this.value;
	}

}
