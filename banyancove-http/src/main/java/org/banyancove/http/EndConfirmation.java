package org.banyancove.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/**
 * Confirms the end of a connection as that of a response without length, after a request
 * that may still be on its way.
 * <p>
 * A server's process that ends, or closes a connection, with no unread bytes ends its
 * side in order, even in the middle of a response. If it had not read the whole request,
 * the rest of the request resets the connection. The response is therefore complete only
 * if no reset follows the end, until the request is sent and for a while after that. A
 * server that ended its side after a whole response may read the request to its end.
 */
public final class EndConfirmation {

	/** A request up to this length is received together with its head. */
	private static final int SHORT_REQUEST_BYTES = 16 << 10;

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(10);

	/** The time in which a reset follows the last bytes of a request. */
	private static final Duration QUIET_TIME = Duration.ofMillis(100);

	/** A server has read a request that was sent this long ago, or resets at once. */
	private static final Duration MAXIMUM_READ_TIME = Duration.ofSeconds(1);

	/** The time after which a server that reads no further counts as sound. */
	private static final Duration MAXIMUM_TIME = Duration.ofSeconds(2);

	private final Channel channel;

	private final ChannelFuture requestWrite;

	private final LongSupplier clock;

	private final Outcome outcome;

	private final long startedAt;

	private final Duration quietTime;

	private long quietSince;

	private EndConfirmation(Channel channel, ChannelFuture requestWrite, long requestWrittenAt, LongSupplier clock,
			Outcome outcome) {
		this.channel = channel;
		this.requestWrite = requestWrite;
		this.clock = clock;
		this.outcome = outcome;
		this.startedAt = clock.getAsLong();
		this.quietSince = this.startedAt;
		boolean read = requestWrite.isDone() && this.startedAt - requestWrittenAt >= MAXIMUM_READ_TIME.toNanos();
		this.quietTime = read ? Duration.ZERO : QUIET_TIME;
	}

	/**
	 * Returns whether the end of a connection needs to be confirmed.
	 * @param requestBytes the length of the request's body
	 * @param requestWrite the write of the request
	 * @return {@code false} if the request is short enough to have been received at once
	 */
	public static boolean isNeeded(int requestBytes, ChannelFuture requestWrite) {
		return requestBytes > SHORT_REQUEST_BYTES || !requestWrite.isDone();
	}

	/**
	 * Starts the confirmation. The connection stays open until it has ended.
	 * @param channel the channel whose peer has ended its side in order
	 * @param requestWrite the write of the request
	 * @param requestWrittenAt when that ended, if it has, as monotonic time in ns
	 * @param clock the monotonic clock, in ns
	 * @param outcome receives the outcome
	 */
	public static void start(Channel channel, ChannelFuture requestWrite, long requestWrittenAt, LongSupplier clock,
			Outcome outcome) {
		OrderlyEndHandler.keepOpen(channel);
		new EndConfirmation(channel, requestWrite, requestWrittenAt, clock, outcome).scheduleProbe();
	}

	private void scheduleProbe() {
		this.channel.eventLoop().schedule(this::probe, PROBE_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
	}

	private void probe() {
		long now = this.clock.getAsLong();
		if (!this.requestWrite.isDone()) {
			this.quietSince = now;
		}
		if (ResetProbe.isReset(this.channel)) {
			this.outcome.ended(false);
		}
		else if (now - this.quietSince >= this.quietTime.toNanos() || now - this.startedAt >= MAXIMUM_TIME.toNanos()) {
			this.outcome.ended(true);
		}
		else {
			scheduleProbe();
		}
	}

	/**
	 * Receives the outcome, on the event loop thread.
	 */
	public interface Outcome {

		/**
		 * Called once.
		 * @param complete whether the response is complete
		 */
		void ended(boolean complete);

	}

}
