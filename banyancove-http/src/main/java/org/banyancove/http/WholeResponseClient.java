package org.banyancove.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * An HTTP client that sends each request on a new connection and returns the whole
 * response. Thread-safe.
 * <p>
 * The first response on a connection that has carried no other request is that of its
 * request. One that is delimited by the end of its connection is whole only if that ended
 * in order, and no reset follows while the request may still be on its way.
 */
public final class WholeResponseClient implements AutoCloseable {

	private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			new DefaultThreadFactory("whole-responses", true), NioIoHandler.newFactory());

	private final Duration connectTimeout;

	private final int maximumResponseBytes;

	private final LongSupplier clock;

	/**
	 * Creates a client.
	 * @param connectTimeout the timeout for connecting
	 * @param maximumResponseBytes the maximum length of a response's body
	 * @param clock the monotonic clock, in ns
	 */
	public WholeResponseClient(Duration connectTimeout, int maximumResponseBytes, LongSupplier clock) {
		this.connectTimeout = connectTimeout;
		this.maximumResponseBytes = maximumResponseBytes;
		this.clock = clock;
	}

	/**
	 * Sends a request and waits for its whole response. An interrupt resets the
	 * connection.
	 * @param request the request
	 * @return the response
	 * @throws ConnectException if no connection can be established
	 * @throws NoGoAheadException if the call fails before the awaited go-ahead
	 * @throws IOException if the call fails otherwise
	 * @throws InterruptedException if the thread is interrupted
	 */
	public WholeResponse send(WholeRequest request) throws IOException, InterruptedException {
		InetSocketAddress address = new InetSocketAddress(request.uri().getHost(), request.uri().getPort());
		if (address.isUnresolved()) {
			throw new ConnectException("unknown host " + address.getHostString());
		}
		WholeResponseHandler handler = new WholeResponseHandler(request, this.maximumResponseBytes, this.clock);
		ChannelFuture connecting = bootstrap(handler).connect(address);
		connecting.addListener((connected) -> {
			if (!connected.isSuccess()) {
				handler.connectFailed(connected.cause());
			}
		});
		try {
			return handler.response().get();
		}
		catch (ExecutionException ex) {
			throw (ex.getCause() instanceof IOException failure) ? failure : new IOException(ex.getCause());
		}
		catch (InterruptedException ex) {
			reset(connecting.channel());
			throw ex;
		}
	}

	private Bootstrap bootstrap(WholeResponseHandler handler) {
		return new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(this.connectTimeout.toMillis()))
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new OrderlyEndHandler(), handler.decoder(), new HttpRequestEncoder(), handler);
				}
			});
	}

	// An orderly close would leave the server to run a request whose call has ended.
	private static void reset(Channel channel) {
		channel.eventLoop().execute(() -> {
			if (channel.isOpen()) {
				channel.config().setOption(ChannelOption.SO_LINGER, 0);
				channel.close();
			}
		});
	}

	@Override
	public void close() {
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
