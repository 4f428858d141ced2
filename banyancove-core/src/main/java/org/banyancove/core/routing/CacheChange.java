package org.banyancove.core.routing;

/**
 * A cache event of an engine. Events arrive late and may be lost.
 *
 * @param sequence the engine's sequence number of the event; a gap means that events were
 * lost
 * @param kind the kind of change
 * @param prefix the affected prefix
 */
public record CacheChange(long sequence, Kind kind, PromptPrefix prefix) {

	/**
	 * The kind of change to a prefix.
	 */
	public enum Kind {

		/** The engine has stored the prefix. */
		STORED,

		/** The engine has evicted the prefix. */
		EVICTED

	}

}
