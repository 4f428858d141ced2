package org.banyancove.gateway.migration;

/**
 * The outcomes of moving a stream.
 */
public enum MoveOutcome {

	/** The stream continues at the destination. */
	MOVED,

	/** The stream continues at its source, which could not copy it. */
	RETURNED,

	/** No endpoint was available as a destination. */
	NO_DESTINATION,

	/** The source had no such run. */
	NO_RUN,

	/** The source could not stop the run, since a call was in progress. */
	CALL_IN_PROGRESS,

	/** The source did not state whether the run stopped. */
	UNANSWERED,

	/** The run stopped, and no endpoint continued it. */
	NOT_CONTINUED,

	/** The request ended, or was sent elsewhere, before the move was complete. */
	ABANDONED

}
