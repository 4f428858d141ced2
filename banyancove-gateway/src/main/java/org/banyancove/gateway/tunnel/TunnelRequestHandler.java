package org.banyancove.gateway.tunnel;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import org.banyancove.program.SocketAddressText;
import org.jspecify.annotations.Nullable;

/**
 * Handles the request of another gateway for a tunnel.
 */
final class TunnelRequestHandler extends SimpleChannelInboundHandler<HttpObject> {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	private final TunnelServer server;

	TunnelRequestHandler(TunnelServer server) {
		this.server = server;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (!(message instanceof HttpRequest request)) {
			return;
		}
		InetSocketAddress from = (InetSocketAddress) context.channel().remoteAddress();
		InetSocketAddress target = target(request);
		TunnelRefusal refusal = this.server.refusal(from, target);
		if (refusal != null || target == null) {
			refuse(context, request, from, (refusal != null) ? refusal : TunnelRefusal.NOT_AN_ENDPOINT);
			return;
		}
		context.channel().config().setAutoRead(false);
		this.server.connecting();
		this.server.connector().connectDirectly(target, CONNECT_TIMEOUT).addListener((future) -> {
			this.server.connectEnded(target, future.cause());
			if (future.isSuccess()) {
				accept(context, request, target, ((ConnectedChannel) future.getNow()).channel());
			}
			else {
				refuse(context, request, from, TunnelRefusal.ENDPOINT_UNREACHABLE);
			}
		});
	}

	private static @Nullable InetSocketAddress target(HttpRequest request) {
		if (!request.decoderResult().isSuccess() || !request.method().equals(HttpMethod.CONNECT)) {
			return null;
		}
		try {
			return SocketAddressText.parseNumeric(request.uri());
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private void accept(ChannelHandlerContext context, HttpRequest request, InetSocketAddress target,
			Channel endpointSide) {
		Channel gatewaySide = context.channel();
		if (!gatewaySide.isActive()) {
			endpointSide.close();
			return;
		}
		this.server.listener()
			.tunnelAccepted(requestId(request), target, (InetSocketAddress) gatewaySide.remoteAddress());
		context
			.writeAndFlush(
					new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER))
			.addListener((Future<Void> written) -> {
				gatewaySide.pipeline().remove(HttpServerCodec.class);
				gatewaySide.pipeline().remove(this);
				this.server.opened(gatewaySide, endpointSide, isClosedByOpener(request));
				gatewaySide.config().setAutoRead(true);
			});
	}

	private void refuse(ChannelHandlerContext context, HttpRequest request, InetSocketAddress from,
			TunnelRefusal refusal) {
		this.server.listener().tunnelRefused(requestId(request), request.uri(), from, refusal);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusal.status(),
				Unpooled.EMPTY_BUFFER);
		HttpUtil.setContentLength(response, 0);
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	// Earlier versions leave it to this side.
	private static boolean isClosedByOpener(HttpRequest request) {
		return EndpointConnector.CLOSED_BY_OPENER.equals(request.headers().get(EndpointConnector.CLOSED_BY_HEADER));
	}

	private static String requestId(HttpRequest request) {
		return request.headers().get(EndpointConnector.REQUEST_ID_HEADER, "");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
