package org.banyancove.standins.support;

import java.io.IOException;

/**
 * Thrown by a handler to close the connection without a complete response.
 */
public final class ConnectionDropException extends IOException {

	/**
	 * Creates the exception.
	 * @param reason the fault that causes it
	 */
	public ConnectionDropException(String reason) {
		super(reason);
	}

}
