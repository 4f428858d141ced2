package org.banyancove.core.stream;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The timers of streams.
 * <p>
 * A stream has one active timer. A timer that fires before the due time is queued again:
 * each piece postpones the due time, and queueing a timer for each piece would cost more
 * than the piece itself.
 */
final class StreamTimers {

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparing(Timer::due));

	void schedule(StreamEntity stream, Instant due) {
		Instant deadline = stream.held().deadline();
		Instant bounded = (due.compareTo(deadline) > 0) ? deadline : due;
		stream.dueAt(bounded);
		if (bounded.isBefore(stream.timerAt)) {
			stream.timerAt = bounded;
			this.timers.add(new Timer(bounded, stream.held().request()));
		}
	}

	void scheduleSooner(StreamEntity stream, Instant due) {
		if (due.isBefore(stream.due())) {
			schedule(stream, due);
		}
	}

	/**
	 * Removes and returns the next timer that has fired.
	 * @param now the current time
	 * @return the timer, or {@code null} if none has fired
	 */
	@Nullable Timer poll(Instant now) {
		Timer next = this.timers.peek();
		return (next != null && !next.due.isAfter(now)) ? this.timers.poll() : null;
	}

	/**
	 * Returns whether a stream is due. A timer that was replaced by another one of the
	 * same stream is ignored, and a timer that fires early is queued again.
	 * @param timer the timer that fired
	 * @param stream its stream
	 * @param now the current time
	 * @return {@code true} if the stream must be processed
	 */
	boolean isDue(Timer timer, StreamEntity stream, Instant now) {
		if (!stream.timerAt.equals(timer.due)) {
			return false;
		}
		stream.timerAt = Instant.MAX;
		Instant due = stream.due();
		if (due.isAfter(now)) {
			schedule(stream, due);
			return false;
		}
		stream.dueAt(Instant.MAX);
		return true;
	}

	record Timer(Instant due, RequestId request) {

	}

}
