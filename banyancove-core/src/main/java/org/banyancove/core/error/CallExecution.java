package org.banyancove.core.error;

/**
 * Whether a call ran at an endpoint, as stated by its answer.
 */
public enum CallExecution {

	/** The call did not run, and this attempt will not run it. */
	NOT_RUN("not-run"),

	/** The call ran; the answer is its outcome. */
	RAN("ran"),

	/** The call may have run; only a repeat with its key reveals the outcome. */
	UNKNOWN("unknown");

	private final String headerValue;

	CallExecution(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns the value of the response header.
	 * @return the header value
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
