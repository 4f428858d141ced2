package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.banyancove.gateway.shared.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits the connections of callers in their order, one in each turn of the event loop,
 * and closes those that the gateway has no time for before a request is read.
 * <p>
 * After a pause of the VM or many connections at once, the loop usually catches up. If
 * connections have waited too long all the time for a while, the gateway is overloaded:
 * from then on each that has waited too long is closed, so that its caller can try
 * another gateway at once. Confined to the event loop thread.
 */
final class ConnectionAdmission {

	private static final Logger log = LoggerFactory.getLogger(ConnectionAdmission.class);

	/** Wait that callers don't notice. */
	private static final Duration MAXIMUM_WAIT = Duration.ofMillis(100);

	/** Time for which connections may wait longer before any is closed. */
	private static final Duration PATIENCE = Duration.ofMillis(500);

	/** Time after an overload within which there is no such patience. */
	private static final Duration OVERLOAD_MEMORY = Duration.ofSeconds(3);

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final Runnable closedUnread;

	private final Queue<Waiting> queue = new ArrayDeque<>();

	private boolean turnScheduled;

	private @Nullable Long lateSince;

	private @Nullable Long overloadedAt;

	/**
	 * Creates the admission.
	 * @param eventLoop the event loop that serves the connections
	 * @param clock the monotonic clock
	 * @param closedUnread called for each connection that is closed
	 */
	ConnectionAdmission(EventLoop eventLoop, MonotonicClock clock, Runnable closedUnread) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.closedUnread = closedUnread;
	}

	/**
	 * Adds a connection that does not read yet.
	 * @param connection the connection
	 */
	void add(Channel connection) {
		this.queue.add(new Waiting(connection, this.clock.nanos()));
		if (!this.turnScheduled) {
			admitNext();
		}
	}

	private void admitNext() {
		this.turnScheduled = false;
		long now = this.clock.nanos();
		Waiting next = this.queue.poll();
		while (next != null && isTooLate(now - next.since(), now)) {
			next.connection().close();
			this.closedUnread.run();
			next = this.queue.poll();
		}
		if (next != null) {
			next.connection().config().setAutoRead(true);
			this.turnScheduled = true;
			// A scheduled task runs after the loop has read what is there, a plain one
			// may run before.
			this.eventLoop.schedule(this::admitNext, 1, TimeUnit.NANOSECONDS);
		}
	}

	private boolean isTooLate(long waited, long now) {
		if (waited <= MAXIMUM_WAIT.toNanos()) {
			this.lateSince = null;
			return false;
		}
		if (this.lateSince == null) {
			this.lateSince = now;
		}
		boolean remembered = this.overloadedAt != null && now - this.overloadedAt < OVERLOAD_MEMORY.toNanos();
		if (!remembered && now - this.lateSince < PATIENCE.toNanos()) {
			return false;
		}
		if (!remembered) {
			log.atWarn().addKeyValue("waiting", this.queue.size()).log("overloaded, closing connections unread");
		}
		this.overloadedAt = now;
		return true;
	}

	/**
	 * A connection that waits.
	 *
	 * @param connection the connection
	 * @param since when it was accepted
	 */
	private record Waiting(Channel connection, long since) {
	}

}
