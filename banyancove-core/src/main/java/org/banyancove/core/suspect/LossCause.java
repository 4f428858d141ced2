package org.banyancove.core.suspect;

/**
 * The cause of the loss of an endpoint, as far as known.
 */
public enum LossCause {

	/** Its VM had a reclaim notice. */
	RECLAIM,

	/** Several VMs of its zone were lost at the same time, or with and after notices. */
	WAVE,

	/** It was not announced: the requests that were running there are suspect. */
	CRASH

}
