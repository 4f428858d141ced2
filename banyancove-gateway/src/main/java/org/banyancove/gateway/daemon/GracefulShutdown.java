package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.exchange.CallerServer;
import org.banyancove.gateway.exchange.DrainPhase;
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
	 * Delay until requests that may last long are rejected: callers are routed to other
	 * gateways after two failed readiness checks, a second apart.
	 */
	private static final Duration LONG_REQUESTS_REJECTED_AFTER = Duration.ofMillis(2500);

	/**
	 * Period before the deadline in which all requests are rejected. It is as long as a
	 * plain request may take: a request accepted later would be cut off while it runs.
	 */
	private static final Duration REJECT_ALL_PERIOD = Duration.ofSeconds(2);

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
	 * Runs the shutdown. Returns when no connection remains or the time is up.
	 * @param shutdownTimeout the time from the termination signal to the forced
	 * termination
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Duration shutdownTimeout) throws InterruptedException {
		long startedAt = this.clock.nanos();
		log.atInfo().addKeyValue("inProgress", this.requestDispatcher.inProgress()).log("stopping");
		this.eventLoop.execute(this.callerServer::stop);
		this.eventLoop.execute(this.tunnelServer::stop);
		TimeUnit.MILLISECONDS.sleep(LONG_REQUESTS_REJECTED_AFTER.toMillis());
		this.eventLoop.execute(() -> this.requestDispatcher.setDrainPhase(DrainPhase.NON_STREAMING));
		long deadline = startedAt + shutdownTimeout.minus(RESPONSE_FLUSH_TIME).toNanos();
		long rejectAllAt = deadline - REJECT_ALL_PERIOD.toNanos();
		while (this.clock.nanos() < deadline && closeIdleConnections() > 0) {
			if (this.clock.nanos() > rejectAllAt) {
				this.eventLoop.execute(() -> this.requestDispatcher.setDrainPhase(DrainPhase.NONE));
			}
			TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL.toMillis());
		}
		log.atInfo().addKeyValue("inProgress", this.requestDispatcher.inProgress()).log("stopped");
	}

	// Returns the number of connections that remain.
	private int closeIdleConnections() throws InterruptedException {
		try {
			return this.eventLoop.submit(() -> this.callerServer.closeIdle() + this.tunnelServer.closeIdle()).get();
		}
		catch (ExecutionException ex) {
			log.error("closing idle connections failed", ex);
			return 0;
		}
	}

}
