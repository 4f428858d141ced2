package org.banyancove.entry;

import java.time.Instant;
import java.time.InstantSource;

/**
 * The clock that the core reads. Its time is constant while an event is handled, so that
 * replaying a recorded event at its recorded time gives the same decisions. Not
 * thread-safe; used by the tick loop only.
 */
final class EventClock implements InstantSource {

	private final InstantSource source;

	private Instant now;

	EventClock(InstantSource source) {
		this.source = source;
		this.now = source.instant();
	}

	@Override
	public Instant instant() {
		return this.now;
	}

	// Advances to the time of the next event. Never goes back, also if the system clock
	// is set back.
	Instant advance() {
		Instant next = this.source.instant();
		if (next.isAfter(this.now)) {
			this.now = next;
		}
		return this.now;
	}

}
