package org.banyancove.entry.caller;

/**
 * The names of the HTTP headers that are specific to the system.
 */
final class CallerHeaders {

	/** The request's identifier, set on every response. */
	static final String REQUEST_ID = "X-Request-Id";

	/** Whether the call was run: {@code ran}, {@code not-run} or {@code unknown}. */
	static final String EXECUTION = "X-Call-Execution";

	/** The code of the error kind. */
	static final String ERROR_CODE = "X-Error-Code";

	/** Set if the answer is the stored answer of an earlier call with the same key. */
	static final String REPEATED = "X-Repeated-Answer";

	/** The caller's key for a call that must run at most once. */
	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private CallerHeaders() {
	}

}
