package org.banyancove.gateway.tunnel;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Ends the pipeline of a connection that is being established, whose failure is reported
 * by its future.
 */
final class ConnectingHandler extends ChannelInboundHandlerAdapter {

	// The response to a request that is sent later would lack these bytes.
	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ReferenceCountUtil.release(message);
		context.close();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
