package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
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

	/** The part of this time for which the last responses are waited for. */
	private static final Duration RESPONSE_DELIVERY_TIME = Duration.ofMillis(200);

	private static final Duration DELIVERY_CHECK_INTERVAL = Duration.ofMillis(10);

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
	 * Runs the shutdown. Returns when no connection remains or the time is up; from then
	 * on no connection is accepted and no request is forwarded.
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
		boolean ended = false;
		while (!ended && this.clock.nanos() < endsAt) {
			ended = succeeds(this::endIfIdle);
			if (!ended) {
				sleepUntil(Math.min(this.clock.nanos() + CHECK_INTERVAL.toNanos(), endsAt));
			}
		}
		if (!ended && !succeeds(this::end)) {
			return;
		}
		awaitDelivery(endsAt + RESPONSE_DELIVERY_TIME.toNanos());
		log.atInfo()
			.addKeyValue("servedMillis", Duration.ofNanos(this.clock.nanos() - startedAt).toMillis())
			.addKeyValue("idle", ended)
			.log("stopped");
	}

	private void begin(long endsAt) {
		this.requestDispatcher.stop(endsAt);
		this.callerServer.stop();
		this.tunnelServer.stop();
	}

	// Checks and ends in one task: a request that arrives between two tasks would be
	// forwarded and lost with the process.
	private boolean endIfIdle() {
		boolean idle = this.callerServer.closeIdle() + this.tunnelServer.closeIdle() == 0;
		return idle && end();
	}

	private boolean end() {
		log.atInfo()
			.addKeyValue("inProgress", this.requestDispatcher.inProgress())
			.addKeyValue("connections", this.callerServer.openConnections())
			.log("ending requests");
		this.callerServer.stopAccepting();
		this.requestDispatcher.endRequests();
		this.callerServer.rejectUnread();
		return true;
	}

	// The end of the process resets connections, and what their callers have not received
	// by then is lost.
	private void awaitDelivery(long until) throws InterruptedException {
		while (this.clock.nanos() < until && !succeeds(() -> this.callerServer.openConnections() == 0)) {
			sleepUntil(Math.min(this.clock.nanos() + DELIVERY_CHECK_INTERVAL.toNanos(), until));
		}
	}

	private void sleepUntil(long time) throws InterruptedException {
		TimeUnit.NANOSECONDS.sleep(time - this.clock.nanos());
	}

	// Runs a step on the event loop. A failed step is repeated, so that it does not end
	// the process while requests are in progress.
	private boolean succeeds(Callable<Boolean> step) throws InterruptedException {
		try {
			return this.eventLoop.submit(step).get();
		}
		catch (ExecutionException ex) {
			log.error("shutdown step failed", ex);
			return false;
		}
	}

}
