package org.banyancove.program;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.banyancove.core.InvariantViolationException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Event loop on a single thread, to which a program's state is confined. Runs events in
 * order, and a periodic tick with a fixed delay. Thread-safe.
 */
public final class TickLoop implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(TickLoop.class);

	private final ScheduledThreadPoolExecutor executor;

	private final FailureListener failures;

	/**
	 * Creates the loop, which runs events immediately and ticks after {@link #start}.
	 * @param threadName the name of the loop's thread
	 * @param failures the listener for failed events, called on the loop's thread
	 */
	public TickLoop(String threadName, FailureListener failures) {
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> new Thread(task, threadName));
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
		this.executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
		this.failures = failures;
	}

	/**
	 * Starts the periodic tick.
	 * @param delay the time between the end of a tick and the start of the next one
	 * @param tick the action of a tick
	 */
	public void start(Duration delay, Runnable tick) {
		long nanos = delay.toNanos();
		this.executor.scheduleWithFixedDelay(() -> run(tick), nanos, nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Runs an event on the loop's thread, after the events posted before. After the loop
	 * is closed, the event is dropped.
	 * @param event the event; its {@code toString()} identifies it in the log if it fails
	 */
	public void post(Runnable event) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(() -> run(event));
		}
	}

	/**
	 * Reads the program's state on the loop's thread.
	 * @param <T> the type of the result
	 * @param reader reads the state
	 * @return the reader's result
	 * @throws IllegalStateException if the reader fails or this thread is interrupted
	 */
	public <T> T read(Callable<T> reader) {
		try {
			return this.executor.submit(reader).get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("The program's state cannot be read", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted while reading the program's state", ex);
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	// An event that violates an invariant must not terminate the loop: only the work that
	// it belongs to is aborted.
	private void run(Runnable event) {
		try {
			event.run();
		}
		catch (InvariantViolationException ex) {
			logger.error("Invariant violated by event {}", event, ex);
			this.failures.invariantViolated();
		}
		catch (RuntimeException ex) {
			logger.error("Event {} failed", event, ex);
			this.failures.eventFailed();
		}
	}

	/**
	 * Listener for failures in the loop.
	 */
	public interface FailureListener {

		/**
		 * Called after an event violated an invariant.
		 */
		void invariantViolated();

		/**
		 * Called after an event failed for another reason.
		 */
		void eventFailed();

	}

}
