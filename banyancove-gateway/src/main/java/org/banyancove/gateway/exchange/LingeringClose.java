package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;

/**
 * Closes callers' connections so that what was written to them arrives.
 * <p>
 * Bytes that arrive at a closed socket, such as the caller's next request, reset the
 * connection, and what its caller has not received by then is lost. This side therefore
 * only ends its output and reads on, for a while, until the caller closes its side.
 */
final class LingeringClose {

	/** Closes a connection after a response is written. */
	static final ChannelFutureListener WHEN_WRITTEN = (written) -> {
		if (written.isSuccess()) {
			close(written.channel());
		}
		else {
			written.channel().close();
		}
	};

	/** Time that a caller has to close its side. */
	private static final Duration MAXIMUM_TIME = Duration.ofSeconds(2);

	private LingeringClose() {
	}

	/**
	 * Closes a connection whose bytes are read and discarded.
	 * @param channel the connection
	 */
	static void close(Channel channel) {
		if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
			channel.close();
			return;
		}
		channel.config().setAutoRead(true);
		duplex.shutdownOutput();
		Future<?> timer = channel.eventLoop()
			.schedule(() -> channel.close(), MAXIMUM_TIME.toNanos(), TimeUnit.NANOSECONDS);
		channel.closeFuture().addListener((closed) -> timer.cancel(false));
	}

}
