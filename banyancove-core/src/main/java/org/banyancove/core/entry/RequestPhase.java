package org.banyancove.core.entry;

/**
 * The processing phase of a request at this entry.
 */
enum RequestPhase {

	/** The request waits for its fair share of the service's capacity. */
	WAITING,

	/** The request waits until another entry holds a copy. */
	HOLDING,

	/** The request waits until the log confirms its claim to run. */
	CLAIMING,

	/** An attempt runs at an endpoint. */
	RUNNING,

	/** The answer or the error is final. */
	ENDED

}
