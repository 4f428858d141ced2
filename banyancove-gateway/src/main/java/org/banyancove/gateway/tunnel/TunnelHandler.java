package org.banyancove.gateway.tunnel;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import org.banyancove.http.OrderlyEndHandler;

/**
 * Copies the bytes of one side of a tunnel to the other one. An orderly end is passed on
 * as such, and any other as a reset: a response that is delimited by the end of its
 * connection must not look complete after a reset.
 */
final class TunnelHandler extends ChannelInboundHandlerAdapter {

	private final Channel otherSide;

	private final Runnable onData;

	private final ChannelFutureListener onEnd;

	TunnelHandler(Channel otherSide, Runnable onData, ChannelFutureListener onEnd) {
		this.otherSide = otherSide;
		this.onData = onData;
		this.onEnd = onEnd;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.onData.run();
		this.otherSide.write(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		this.otherSide.flush();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.otherSide.config().setAutoRead(context.channel().isWritable());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (OrderlyEndHandler.isBroken(context.channel())) {
			reset(this.otherSide);
		}
		else {
			this.otherSide.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(this.onEnd);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	// Discards bytes that are not yet delivered: a request that is held up by a partition
	// would otherwise run after its caller was told that the outcome is unknown.
	static void reset(Channel channel) {
		if (channel.isOpen()) {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
			channel.close();
		}
	}

}
