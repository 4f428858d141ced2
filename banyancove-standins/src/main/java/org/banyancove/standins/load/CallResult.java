package org.banyancove.standins.load;

import java.time.Duration;

/**
 * The result of one request.
 *
 * @param outcome one of the constants of this class, an HTTP status with its error code,
 * or the simple name of an exception
 * @param firstToken the time to the response's first token or byte
 * @param total the time to the end of the response
 */
record CallResult(String outcome, Duration firstToken, Duration total) {

	static final String SUCCESS = "200";

	static final String INCOMPLETE = "200 incomplete";

	static final String INCORRECT = "200 wrong text";

	boolean isSuccess() {
		return this.outcome.equals(SUCCESS);
	}

}
