package org.banyancove.core.peer;

/**
 * Whether a holder may run a request again after its owner failed.
 */
public enum CallKind {

	/** A model request: its answer is deterministic, so any entry may run it again. */
	MODEL,

	/** A plain call that may be repeated. */
	REPEATABLE,

	/**
	 * A plain call that runs at most once: only the claimant of its key may run it, never
	 * a holder.
	 */
	AT_MOST_ONCE

}
