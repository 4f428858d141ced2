package org.banyancove.gateway.tunnel;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Ends the pipeline of a connection that is being established, whose failure is reported
 * by its future.
 */
final class ConnectingHandler extends ChannelInboundHandlerAdapter {

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
