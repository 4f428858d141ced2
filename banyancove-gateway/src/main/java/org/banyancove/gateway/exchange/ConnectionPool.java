package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import jdk.net.ExtendedSocketOptions;
import org.banyancove.gateway.shared.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * A pool of connections to endpoints and to the platform, each with one request at a
 * time.
 * <p>
 * The most recently used idle connection is reused first: it is the least likely to be
 * dead, and the others can expire.
 */
public final class ConnectionPool {

	/**
	 * TCP keep-alive probes, with the interval and count below, detect a dead peer after
	 * 3 s.
	 */
	private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

	private static final int KEEP_ALIVE_PROBE_INTERVAL_SECONDS = 1;

	private static final int KEEP_ALIVE_PROBE_COUNT = 2;

	private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

	private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

	private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 * 1024;

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final ChannelFactory<? extends Channel> channelFactory;

	private final Map<InetSocketAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();

	private final Map<InetSocketAddress, Integer> openConnections = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param eventLoop the event loop that serves the connections
	 * @param clock the monotonic clock
	 */
	public ConnectionPool(EventLoop eventLoop, MonotonicClock clock) {
		this(eventLoop, clock, NioSocketChannel::new);
	}

	/**
	 * Creates an empty pool of a particular kind of channels.
	 * @param eventLoop the event loop that serves the connections
	 * @param clock the monotonic clock
	 * @param channelFactory creates the channel of each connection
	 */
	public ConnectionPool(EventLoop eventLoop, MonotonicClock clock, ChannelFactory<? extends Channel> channelFactory) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.channelFactory = channelFactory;
	}

	/**
	 * Sends a request. The listener is called on the event loop, never from within this
	 * method.
	 * @param address the server address
	 * @param request the request, whose reference is released when the call ends
	 * @param options the connection options
	 * @param listener receives the response
	 * @return the call
	 */
	public ClientCall call(InetSocketAddress address, FullHttpRequest request, CallOptions options,
			ResponseListener listener) {
		ClientCall call = new ClientCall(request, listener);
		ClientConnection pooled = acquireIdle(address, options);
		if (pooled != null) {
			pooled.send(call);
		}
		else if (this.openConnections.getOrDefault(address, 0) >= options.maximumConnections()) {
			this.eventLoop.execute(() -> call.failed(CallFailure.NO_FREE_CONNECTION));
		}
		else {
			connect(address, options, call);
		}
		return call;
	}

	/**
	 * Closes the idle connections to an address that may have been reassigned.
	 * @param address the address
	 */
	public void closeIdle(InetSocketAddress address) {
		Deque<ClientConnection> connections = this.idleConnections.remove(address);
		if (connections != null) {
			connections.forEach(ClientConnection::close);
		}
	}

	private @Nullable ClientConnection acquireIdle(InetSocketAddress address, CallOptions options) {
		Deque<ClientConnection> connections = this.idleConnections.get(address);
		while (connections != null && !connections.isEmpty()) {
			ClientConnection newest = connections.pop();
			if (newest.isUsable(this.clock.nanos(), options.maximumIdleTime().toNanos())) {
				return newest;
			}
			newest.close();
		}
		return null;
	}

	private void connect(InetSocketAddress address, CallOptions options, ClientCall call) {
		this.openConnections.merge(address, 1, Integer::sum);
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoop)
			.channelFactory(this.channelFactory)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_INTERVAL_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(options.connectTimeout().toMillis()))
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(MAXIMUM_INITIAL_LINE_BYTES, MAXIMUM_HEADER_BYTES,
								MAXIMUM_CHUNK_BYTES))
						.addLast(new ClientConnection(ConnectionPool.this, address, channel));
				}
			});
		ChannelFuture connectFuture = bootstrap.connect(address);
		connectFuture.channel()
			.closeFuture()
			.addListener((future) -> this.openConnections.merge(address, -1, Integer::sum));
		connectFuture.addListener((future) -> {
			if (!future.isSuccess()) {
				call.failed((future.cause() instanceof ConnectTimeoutException) ? CallFailure.CONNECT_TIMED_OUT
						: CallFailure.CONNECT_REFUSED);
				return;
			}
			ClientConnection connection = connectFuture.channel().pipeline().get(ClientConnection.class);
			if (call.ended()) {
				release(connection);
			}
			else if (!call.maySend()) {
				release(connection);
				call.failed(CallFailure.WITHDRAWN);
			}
			else {
				connection.send(call);
			}
		});
	}

	void release(ClientConnection connection) {
		connection.idleSince(this.clock.nanos());
		this.idleConnections.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>()).push(connection);
	}

	void removeIdle(ClientConnection connection) {
		Deque<ClientConnection> connections = this.idleConnections.get(connection.address());
		if (connections != null) {
			connections.remove(connection);
			if (connections.isEmpty()) {
				this.idleConnections.remove(connection.address());
			}
		}
	}

}
