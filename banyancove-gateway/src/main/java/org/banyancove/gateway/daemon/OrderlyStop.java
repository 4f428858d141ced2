package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.exchange.CallerServer;
import org.banyancove.gateway.exchange.DrainPhase;
import org.banyancove.gateway.exchange.RequestFlow;
import org.banyancove.gateway.shared.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stop of a gateway's process, which lets requests end.
 */
final class OrderlyStop {

	private static final Logger log = LoggerFactory.getLogger(OrderlyStop.class);

	/** Callers are sent elsewhere after two missed checks, a second apart. */
	private static final Duration IDLE_AFTER = Duration.ofMillis(2500);

	/**
	 * At its end, nothing more is accepted for as long as a plain request may last: one
	 * that was accepted in the last moment would be cut off while it runs.
	 */
	private static final Duration ACCEPTS_NONE_FOR = Duration.ofSeconds(2);

	/** Left over at its end, so that the last answers leave the VM. */
	private static final Duration MARGIN = Duration.ofMillis(400);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final CallerServer callers;

	private final RequestFlow flow;

	OrderlyStop(EventLoop eventLoop, SteadyClock clock, CallerServer callers, RequestFlow flow) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.callers = callers;
		this.flow = flow;
	}

	/**
	 * Returns when no connection is left or the time is up.
	 * @param stopTime from the signal to stop to being killed
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Duration stopTime) throws InterruptedException {
		long began = this.clock.nanos();
		log.atInfo().addKeyValue("inProgress", this.flow.inProgress()).log("stopping");
		this.eventLoop.execute(this.callers::stop);
		TimeUnit.MILLISECONDS.sleep(IDLE_AFTER.toMillis());
		this.eventLoop.execute(() -> this.flow.drain(DrainPhase.SHORT_ONES));
		long end = began + stopTime.minus(MARGIN).toNanos();
		long lastAccepted = end - ACCEPTS_NONE_FOR.toNanos();
		while (this.clock.nanos() < end && connectionsLeft() > 0) {
			if (this.clock.nanos() > lastAccepted) {
				this.eventLoop.execute(() -> this.flow.drain(DrainPhase.NONE));
			}
			TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL.toMillis());
		}
		log.atInfo().addKeyValue("inProgress", this.flow.inProgress()).log("stopped");
	}

	private int connectionsLeft() throws InterruptedException {
		try {
			return this.eventLoop.submit(this.callers::closeIdle).get();
		}
		catch (ExecutionException ex) {
			log.error("closing idle connections failed", ex);
			return 0;
		}
	}

}
