package org.banyancove.gateway.migration;

/**
 * What an endpoint answered when it was asked to stop a run and copy it to another one.
 */
public sealed interface SourceAnswer {

	/**
	 * The run has stopped and was copied.
	 *
	 * @param handle the handle with which it can be continued once
	 */
	record Copied(String handle) implements SourceAnswer {
	}

	/**
	 * The run has stopped, but the destination has no room or cannot be reached.
	 *
	 * @param handle the handle with which it can be continued once
	 */
	record NotCopied(String handle) implements SourceAnswer {
	}

	/** The endpoint has no such run. */
	record NoRun() implements SourceAnswer {
	}

	/** A call is in progress, and the run goes on. */
	record CallInProgress() implements SourceAnswer {
	}

	/** No answer, or one that does not show whether the run has stopped. */
	record Unknown() implements SourceAnswer {
	}

}
