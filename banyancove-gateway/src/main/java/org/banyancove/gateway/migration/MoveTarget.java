package org.banyancove.gateway.migration;

/**
 * Where a run that was stopped continues.
 */
public enum MoveTarget {

	/** The endpoint that was chosen as the destination. */
	DESTINATION,

	/** The endpoint that stopped the run. */
	SOURCE

}
