package org.banyancove.core;

/**
 * Assertions that are always enabled, also in production.
 * <p>
 * After a violation, continuing could break a guarantee to a caller. The check hence
 * throws an exception, and the daemon aborts the current operation.
 */
public final class Invariant {

	private Invariant() {
	}

	/**
	 * Checks an invariant.
	 * @param condition whether the invariant holds
	 * @param message the message format, with {@code %s} for each value
	 * @param values the values for the placeholders in {@code message}
	 * @throws InvariantViolationException if {@code condition} is false
	 */
	public static void check(boolean condition, String message, Object... values) {
		if (!condition) {
			throw new InvariantViolationException(message.formatted(values));
		}
	}

}
