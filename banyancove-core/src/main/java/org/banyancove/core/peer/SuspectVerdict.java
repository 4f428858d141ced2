package org.banyancove.core.peer;

/**
 * The verdict on a request's fingerprint after endpoints crashed.
 */
public enum SuspectVerdict {

	/** The request was running at an endpoint that crashed. */
	SUSPECTED,

	/** The request crashed two endpoints and is refused at every entry. */
	CONDEMNED,

	/** The request completed, so that another one crashed the endpoint. */
	CLEARED

}
