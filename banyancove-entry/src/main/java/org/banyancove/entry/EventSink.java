package org.banyancove.entry;

import org.banyancove.core.entry.EntryEvent;

/**
 * Accepts events for the tick loop. Thread-safe and non-blocking.
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Adds an event to the queue of the tick loop.
	 * @param event the event
	 */
	void post(EntryEvent event);

}
