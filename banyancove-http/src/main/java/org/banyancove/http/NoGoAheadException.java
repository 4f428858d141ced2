package org.banyancove.http;

import java.io.IOException;

/**
 * A call that ended before its server had asked for the body or had responded. Nothing
 * but the head of the request was sent.
 */
public final class NoGoAheadException extends IOException {

	private static final long serialVersionUID = 1L;

	NoGoAheadException(IOException cause) {
		super("no go-ahead: " + cause.getMessage(), cause);
	}

}
