package org.banyancove.platform.json;

import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;

/**
 * Thrown if a text is not a record of a known kind, for example because a later version
 * wrote it.
 */
public class UnreadableRecordException extends BanyancoveException {

	/**
	 * Creates the exception.
	 * @param message the detail message
	 * @param cause the cause
	 */
	public UnreadableRecordException(String message, Throwable cause) {
		super(ErrorKind.INTERNAL, message, cause);
	}

}
