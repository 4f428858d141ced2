package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.program.MetricsText;

/**
 * Serves the readiness check and the metrics.
 */
final class StatusServer {

	private static final String METRICS_PATH = "/metrics";

	private final EventLoopGroup eventLoops;

	private final BooleanSupplier ready;

	private final MetricsText metrics;

	StatusServer(EventLoopGroup eventLoops, BooleanSupplier ready, MetricsText metrics) {
		this.eventLoops = eventLoops;
		this.ready = ready;
		this.metrics = metrics;
	}

	Channel listen(InetSocketAddress address) throws InterruptedException {
		return new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpServerKeepAliveHandler(), new StatusHandler());
				}
			})
			.bind(address)
			.sync()
			.channel();
	}

	private FullHttpResponse respond(String path) {
		if (path.equals(METRICS_PATH)) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
					Unpooled.copiedBuffer(this.metrics.text(), StandardCharsets.UTF_8));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, this.metrics.contentType());
			return response;
		}
		return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				this.ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
				Unpooled.EMPTY_BUFFER);
	}

	/**
	 * Responds to requests one by one.
	 */
	private final class StatusHandler extends SimpleChannelInboundHandler<HttpObject> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (message instanceof HttpRequest request) {
				FullHttpResponse response = respond(request.uri());
				HttpUtil.setContentLength(response, response.content().readableBytes());
				context.writeAndFlush(response);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The client has closed the connection and will retry.
			context.close();
		}

	}

}
