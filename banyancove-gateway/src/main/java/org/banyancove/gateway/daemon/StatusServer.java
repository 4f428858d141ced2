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
 * Tells whether the process takes requests, and its metrics.
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

	private FullHttpResponse answer(String path) {
		if (path.equals(METRICS_PATH)) {
			FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
					Unpooled.copiedBuffer(this.metrics.text(), StandardCharsets.UTF_8));
			answer.headers().set(HttpHeaderNames.CONTENT_TYPE, this.metrics.contentType());
			return answer;
		}
		return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				this.ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
				Unpooled.EMPTY_BUFFER);
	}

	/**
	 * Answers one request after the other.
	 */
	private final class StatusHandler extends SimpleChannelInboundHandler<HttpObject> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (message instanceof HttpRequest request) {
				FullHttpResponse answer = answer(request.uri());
				HttpUtil.setContentLength(answer, answer.content().readableBytes());
				context.writeAndFlush(answer);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The one who asked has gone; it will ask again.
			context.close();
		}

	}

}
