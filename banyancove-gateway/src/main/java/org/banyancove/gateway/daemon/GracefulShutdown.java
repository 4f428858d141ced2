package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.exchange.CallerServer;
import org.banyancove.gateway.exchange.RequestDispatcher;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.tunnel.TunnelServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts down the process of a gateway after its requests have completed.
 */
final class GracefulShutdown {

	private static final Logger log = LoggerFactory.getLogger(GracefulShutdown.class);

	/**
	 * Minimum duration: callers are routed to other gateways after two failed readiness
	 * checks, a second apart.
	 */
	private static final Duration ROUTED_AWAY_AFTER = Duration.ofMillis(2500);

	/** Time reserved after the deadline, so that the last responses leave the VM. */
	private static final Duration RESPONSE_FLUSH_TIME = Duration.ofMillis(400);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final CallerServer callerServer;

	private final TunnelServer tunnelServer;

	private final RequestDispatcher requestDispatcher;

	GracefulShutdown(EventLoop eventLoop, MonotonicClock clock, CallerServer callerServer, TunnelServer tunnelServer,
			RequestDispatcher requestDispatcher) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.callerServer = callerServer;
		this.tunnelServer = tunnelServer;
		this.requestDispatcher = requestDispatcher;
	}

	/**
	 * Returns the time for which requests are served from the termination signal on.
	 * @param shutdownTimeout the time from the signal to the forced termination
	 * @return the time
	 */
	static Duration servingTime(Duration shutdownTimeout) {
		Duration time = shutdownTimeout.minus(RESPONSE_FLUSH_TIME);
		return time.isNegative() ? Duration.ZERO : time;
	}

	/**
	 * Runs the shutdown. Returns when no connection remains or the time is up.
	 * @param shutdownTimeout the time from the termination signal to the forced
	 * termination
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Duration shutdownTimeout) throws InterruptedException {
		long startedAt = this.clock.nanos();
		long endsAt = startedAt + servingTime(shutdownTimeout).toNanos();
		log.atInfo().addKeyValue("inProgress", this.requestDispatcher.inProgress()).log("stopping");
		this.eventLoop.execute(() -> begin(endsAt));
		sleepUntil(Math.min(startedAt + ROUTED_AWAY_AFTER.toNanos(), endsAt));
		while (this.clock.nanos() < endsAt && closeIdleConnections() > 0) {
			sleepUntil(Math.min(this.clock.nanos() + CHECK_INTERVAL.toNanos(), endsAt));
		}
		log.atInfo().addKeyValue("inProgress", this.requestDispatcher.inProgress()).log("stopped");
		await(this.eventLoop.submit(this::endRequests, 0));
	}

	private void begin(long endsAt) {
		this.requestDispatcher.stop(endsAt);
		this.callerServer.stop();
		this.tunnelServer.stop();
	}

	private void endRequests() {
		this.requestDispatcher.endRequests();
		this.callerServer.rejectUnread();
	}

	private void sleepUntil(long time) throws InterruptedException {
		TimeUnit.NANOSECONDS.sleep(time - this.clock.nanos());
	}

	// Returns the number of connections that remain.
	private int closeIdleConnections() throws InterruptedException {
		return await(this.eventLoop.submit(() -> this.callerServer.closeIdle() + this.tunnelServer.closeIdle()));
	}

	// Returns the result, or 0 if the work failed: the shutdown goes on.
	private static int await(Future<Integer> work) throws InterruptedException {
		try {
			return work.get();
		}
		catch (ExecutionException ex) {
			log.error("shutdown step failed", ex);
			return 0;
		}
	}

}
