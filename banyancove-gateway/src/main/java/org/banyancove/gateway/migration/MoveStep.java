package org.banyancove.gateway.migration;

/**
 * What follows in the course of a move.
 */
public sealed interface MoveStep {

	/**
	 * The request is sent on with the handle.
	 *
	 * @param target where the run continues
	 * @param handle the handle of the run
	 */
	record Continue(MoveTarget target, String handle) implements MoveStep {
	}

	/**
	 * Nothing is changed: the stream goes on while its connection does.
	 *
	 * @param outcome why the stream is not moved
	 */
	record Keep(MoveOutcome outcome) implements MoveStep {
	}

	/**
	 * The run has stopped and is not continued. The source can free its memory.
	 *
	 * @param handle the handle of the run
	 */
	record Release(String handle) implements MoveStep {
	}

}
