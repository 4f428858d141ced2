package org.banyancove.core.entry;

import java.time.Instant;

/**
 * A line of a recorded trace.
 */
public sealed interface TraceLine {

	/**
	 * The start of the recorded process.
	 *
	 * @param at the time of the start
	 * @param identity the identity of the entry
	 * @param seed the seed of its random numbers
	 */
	record Start(Instant at, EntryIdentity identity, long seed) implements TraceLine {

	}

	/**
	 * An event that was handled.
	 *
	 * @param at the time that the core's clock returned
	 * @param event the event
	 */
	record Handled(Instant at, EntryEvent event) implements TraceLine {

	}

}
