package org.banyancove.entry;

import java.time.Duration;
import java.util.concurrent.Callable;

import org.banyancove.core.entry.EntryCore;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.program.TickLoop;

/**
 * Records events and passes them to the core on the single thread that owns its state.
 */
public final class EntryLoop implements EventSink, AutoCloseable {

	private final TickLoop loop;

	private final EntryCore core;

	private final EventClock clock;

	private final TraceRecorder trace;

	/**
	 * Creates the loop; it handles events immediately and ticks after {@link #start}.
	 * @param core the core that handles the events
	 * @param clock the clock that the core reads
	 * @param trace records every event before it is handled
	 */
	EntryLoop(EntryCore core, EventClock clock, TraceRecorder trace) {
		this.loop = new TickLoop("entry-loop", new CoreFailureListener(core));
		this.core = core;
		this.clock = clock;
		this.trace = trace;
	}

	/**
	 * Starts to tick.
	 * @param interval the time between ticks
	 */
	public void start(Duration interval) {
		this.loop.start(interval, new EventTask(new EntryEvent.Ticked()));
	}

	@Override
	public void post(EntryEvent event) {
		this.loop.post(new EventTask(event));
	}

	/**
	 * Reads the core's state on the thread that owns it.
	 * @param <T> the type of the value
	 * @param reader reads the value
	 * @return the value
	 */
	public <T> T read(Callable<T> reader) {
		return this.loop.read(reader);
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private final class EventTask implements Runnable {

		private final EntryEvent event;

		EventTask(EntryEvent event) {
			this.event = event;
		}

		@Override
		public void run() {
			EntryLoop.this.trace.record(EntryLoop.this.clock.advance(), this.event);
			EntryLoop.this.core.handle(this.event);
		}

		@Override
		public String toString() {
			return this.event.toString();
		}

	}

	/**
	 * Counts failures in the core.
	 */
	private record CoreFailureListener(EntryCore core) implements TickLoop.FailureListener {

		@Override
		public void invariantViolated() {
			this.core.countInvariantViolation();
		}

		@Override
		public void eventFailed() {
			this.core.countFailedEvent();
		}

	}

}
