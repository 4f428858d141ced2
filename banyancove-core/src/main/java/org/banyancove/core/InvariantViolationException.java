package org.banyancove.core;

/**
 * Thrown when an invariant of the system is violated.
 */
public class InvariantViolationException extends IllegalStateException {

	/**
	 * Creates the exception.
	 * @param message the violated invariant, with the relevant values
	 */
	public InvariantViolationException(String message) {
		super(message);
	}

}
