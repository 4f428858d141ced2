package org.banyancove.gateway.tunnel;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import org.banyancove.http.OrderlyEndHandler;
import org.banyancove.http.ResetProbe;

/**
 * Passes on the orderly end of an endpoint's side, and a reset that follows it.
 * <p>
 * An endpoint that ends within a response, while a long request is on its way, ends its
 * side in order, and the rest of the request resets the connection. The gateway that
 * opened the tunnel can't tell such a response from a whole one if the rest is not
 * relayed.
 */
final class EndpointEndHandler extends ChannelInboundHandlerAdapter {

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(10);

	/** Longer than the other gateway waits for a reset. */
	private static final Duration MAXIMUM_TIME = Duration.ofMillis(2500);

	private final Channel gatewaySide;

	private boolean awaitingReset;

	private long probes;

	EndpointEndHandler(Channel gatewaySide) {
		this.gatewaySide = gatewaySide;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent && this.gatewaySide.isActive()) {
			this.awaitingReset = true;
			OrderlyEndHandler.keepOpen(context.channel());
			this.gatewaySide.writeAndFlush(Unpooled.EMPTY_BUFFER)
				.addListener((ChannelFutureListener) EndpointEndHandler::endOutput);
			scheduleProbe(context);
		}
		context.fireUserEventTriggered(event);
	}

	private static void endOutput(ChannelFuture written) {
		if (written.isSuccess() && written.channel() instanceof DuplexChannel gatewaySide) {
			gatewaySide.shutdownOutput();
		}
	}

	private void scheduleProbe(ChannelHandlerContext context) {
		context.executor().schedule(() -> probe(context), PROBE_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
	}

	private void probe(ChannelHandlerContext context) {
		if (!context.channel().isOpen()) {
			return;
		}
		this.probes++;
		boolean expired = PROBE_INTERVAL.multipliedBy(this.probes).compareTo(MAXIMUM_TIME) > 0;
		if (expired) {
			this.awaitingReset = false;
		}
		if (expired || ResetProbe.isReset(context.channel())) {
			context.close();
		}
		else {
			scheduleProbe(context);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.awaitingReset) {
			TunnelHandler.reset(this.gatewaySide);
		}
		context.fireChannelInactive();
	}

}
