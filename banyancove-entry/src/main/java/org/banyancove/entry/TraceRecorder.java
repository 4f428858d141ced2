package org.banyancove.entry;

import java.time.Instant;

import org.banyancove.core.entry.EntryEvent;

/**
 * Records the events of a run for replay.
 */
public interface TraceRecorder extends AutoCloseable {

	/**
	 * Returns a recorder that records nothing.
	 * @return the recorder
	 */
	static TraceRecorder none() {
		return (at, event) -> {
		};
	}

	/**
	 * Records an event that is about to be handled.
	 * @param at the time of the core's clock
	 * @param event the event
	 */
	void record(Instant at, EntryEvent event);

	@Override
	default void close() {
	}

}
