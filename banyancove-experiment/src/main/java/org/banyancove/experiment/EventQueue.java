package org.banyancove.experiment;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue of a discrete-event simulation: runs scheduled actions in order of
 * time.
 */
final class EventQueue implements InstantSource {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private static final double NANOS_PER_SECOND = 1e9;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));

	private long eventCount;

	private double now;

	double now() {
		return this.now;
	}

	@Override
	public Instant instant() {
		return at(this.now);
	}

	Instant at(double seconds) {
		return START.plusNanos(Math.round(seconds * NANOS_PER_SECOND));
	}

	double secondsOf(Instant instant) {
		return Duration.between(START, instant).toNanos() / NANOS_PER_SECOND;
	}

	void scheduleAfter(double seconds, Runnable action) {
		this.eventCount++;
		this.events.add(new Event(this.now + seconds, this.eventCount, action));
	}

	void scheduleEvery(double seconds, double until, Runnable action) {
		scheduleAfter(seconds, () -> {
			action.run();
			if (this.now + seconds <= until) {
				scheduleEvery(seconds, until, action);
			}
		});
	}

	void run() {
		while (!this.events.isEmpty()) {
			Event event = this.events.remove();
			this.now = event.at();
			event.action().run();
		}
	}

	private record Event(double at, long sequence, Runnable action) {
	}

}
