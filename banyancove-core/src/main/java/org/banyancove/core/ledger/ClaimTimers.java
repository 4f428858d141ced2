package org.banyancove.core.ledger;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The timers of a {@link ClaimSystem}, ordered by time. Timers are never cancelled; a
 * timer whose subject no longer exists is ignored.
 */
final class ClaimTimers {

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(
			Comparator.comparing(Timer::at).thenComparingLong(Timer::sequence));

	private long nextSequence;

	void add(Instant at, Subject subject) {
		this.timers.add(new Timer(at, this.nextSequence++, subject));
	}

	@Nullable Subject pollDue(Instant now) {
		Timer first = this.timers.peek();
		if (first == null || now.isBefore(first.at())) {
			return null;
		}
		this.timers.remove();
		return first.subject();
	}

	/** The subject of a timer. */
	sealed interface Subject {

	}

	/** The request's deadline. */
	record Deadline(RequestId request) implements Subject {

	}

	/** The timeout for the slot's view to become complete for a request. */
	record ViewTimeout(RequestId request) implements Subject {

	}

	/** The timeout for an intent to be read back. */
	record IntentTimeout(RecordId intent) implements Subject {

	}

	/** The time at which the key's current claim must be evaluated again. */
	record Reevaluation(CallKey key) implements Subject {

	}

	/**
	 * A timer. Timers of the same instant expire in the order in which they were added.
	 */
	private record Timer(Instant at, long sequence, Subject subject) {

	}

}
