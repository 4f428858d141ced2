package org.banyancove.planner;

import java.util.concurrent.atomic.AtomicLong;

import org.banyancove.program.TickLoop;

/**
 * Counts invariant violations and events whose handling failed. Thread-safe.
 */
final class FailureCounters implements TickLoop.FailureListener {

	private final AtomicLong invariantViolations = new AtomicLong();

	private final AtomicLong failedEvents = new AtomicLong();

	long invariantViolations() {
		return this.invariantViolations.get();
	}

	long failedEvents() {
		return this.failedEvents.get();
	}

	@Override
	public void invariantViolated() {
		this.invariantViolations.incrementAndGet();
	}

	@Override
	public void eventFailed() {
		this.failedEvents.incrementAndGet();
	}

}
