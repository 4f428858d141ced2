package org.banyancove.core.error;

import org.jspecify.annotations.Nullable;

/**
 * The base class of exceptions reported to callers and operators. Each has an
 * {@link ErrorKind}.
 */
public class BanyancoveException extends RuntimeException {

	private final ErrorKind kind;

	/**
	 * Creates the exception.
	 * @param kind the kind, which determines the answer
	 * @param message the description of the error, with the value
	 */
	public BanyancoveException(ErrorKind kind, String message) {
		this(kind, message, null);
	}

	/**
	 * Creates the exception with its cause.
	 * @param kind the kind, which determines the answer
	 * @param message the description of the error, with the value
	 * @param cause the cause, or {@code null}
	 */
	public BanyancoveException(ErrorKind kind, String message, @Nullable Throwable cause) {
		super(message, cause);
		this.kind = kind;
	}

	/**
	 * Returns the kind of error.
	 * @return the kind
	 */
	public ErrorKind kind() {
		return this.kind;
	}

}
