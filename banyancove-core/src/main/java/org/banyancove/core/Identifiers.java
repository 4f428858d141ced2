package org.banyancove.core;

/**
 * Common preconditions of identifiers.
 */
final class Identifiers {

	private static final int MAXIMUM_LENGTH = 200;

	private Identifiers() {
	}

	static void check(String type, String value) {
		if (value.isBlank()) {
			throw new IllegalArgumentException(type + " must not be blank: '" + value + "'");
		}
		if (value.length() > MAXIMUM_LENGTH) {
			throw new IllegalArgumentException(
					type + " must have at most " + MAXIMUM_LENGTH + " characters, has " + value.length());
		}
	}

}
