package org.banyancove.standins.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that becomes visible to readers after a fixed lag. This class is thread-safe.
 *
 * @param <T> the value's type, immutable
 */
public final class LaggingView<T> {

	private final Duration lag;

	private final InstantSource clock;

	private final Deque<Stamped<T>> pending = new ArrayDeque<>();

	private Stamped<T> visible;

	/**
	 * Creates the view.
	 * @param lag the time until a value becomes visible
	 * @param clock the clock
	 * @param initial the initially visible value
	 */
	public LaggingView(Duration lag, InstantSource clock, T initial) {
		this.lag = lag;
		this.clock = clock;
		this.visible = new Stamped<>(clock.instant(), initial);
	}

	/**
	 * Sets the value, which becomes visible after the lag.
	 * @param value the value
	 */
	public synchronized void set(T value) {
		this.pending.addLast(new Stamped<>(this.clock.instant(), value));
		get();
	}

	/**
	 * Returns the newest value that is at least as old as the lag.
	 * @return the value and the time as of which it is current
	 */
	public synchronized Stamped<T> get() {
		Instant horizon = this.clock.instant().minus(this.lag);
		Stamped<T> next = this.pending.peekFirst();
		while (next != null && !next.at().isAfter(horizon)) {
			this.visible = next;
			this.pending.removeFirst();
			next = this.pending.peekFirst();
		}
		Instant asOf = this.visible.at().isAfter(horizon) ? this.visible.at() : horizon;
		return new Stamped<>(asOf, this.visible.value());
	}

	/**
	 * A value with the time as of which it is current.
	 *
	 * @param <T> the value's type
	 * @param at the time as of which the value is current
	 * @param value the value
	 */
	public record Stamped<T>(Instant at, T value) {
	}

}
