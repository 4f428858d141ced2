package org.banyancove.core.error;

/**
 * Whether and how a caller should repeat a request that ended in an error.
 */
public enum Repetition {

	/** A repeat cannot succeed until the caller or the operators change something. */
	USELESS,

	/** The caller should repeat the request after the delay given in the answer. */
	AFTER_DELAY,

	/** The caller should repeat the request with the same key after the given delay. */
	SAME_KEY_AFTER_DELAY

}
