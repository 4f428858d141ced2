package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import jdk.net.ExtendedSocketOptions;
import org.banyancove.gateway.shared.SteadyClock;
import org.jspecify.annotations.Nullable;

/**
 * Kept connections to endpoints and to the platform, one request at a time on each.
 * <p>
 * The newest idle connection is used first, so that the rest grow old and close; one that
 * went silent is least likely to be the newest.
 */
public final class ClientConnections {

	/**
	 * Idle seconds before the first keep-alive probe, its gap and count: dead after 3 s.
	 */
	private static final int PROBE_AFTER_SECONDS = 1;

	private static final int PROBE_GAP_SECONDS = 1;

	private static final int PROBES = 2;

	private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

	private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

	private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 * 1024;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final Map<InetSocketAddress, Deque<ClientConnection>> idle = new HashMap<>();

	private final Map<InetSocketAddress, Integer> open = new HashMap<>();

	/**
	 * Creates the connections.
	 * @param eventLoop the loop that serves them
	 * @param clock the steady clock
	 */
	public ClientConnections(EventLoop eventLoop, SteadyClock clock) {
		this.eventLoop = eventLoop;
		this.clock = clock;
	}

	/**
	 * Makes a call. The listener is called on the event loop, never during this method.
	 * @param address where to call
	 * @param request the request, which is released once it was written
	 * @param options how to use connections
	 * @param listener receives the answer
	 * @return the call
	 */
	public ClientCall call(InetSocketAddress address, FullHttpRequest request, CallOptions options,
			AnswerListener listener) {
		ClientCall call = new ClientCall(request, listener);
		ClientConnection kept = takeIdle(address, options);
		if (kept != null) {
			kept.begin(call);
		}
		else if (this.open.getOrDefault(address, 0) >= options.maximumConnections()) {
			this.eventLoop.execute(() -> call.failed(CallFailure.NOT_SENT));
		}
		else {
			connect(address, options, call);
		}
		return call;
	}

	/**
	 * Closes the idle connections to an address, whose owner may have changed.
	 * @param address the address
	 */
	public void closeIdle(InetSocketAddress address) {
		Deque<ClientConnection> connections = this.idle.remove(address);
		if (connections != null) {
			connections.forEach(ClientConnection::close);
		}
	}

	private @Nullable ClientConnection takeIdle(InetSocketAddress address, CallOptions options) {
		Deque<ClientConnection> connections = this.idle.get(address);
		while (connections != null && !connections.isEmpty()) {
			ClientConnection newest = connections.pop();
			if (newest.usable(this.clock.nanos(), options.maximumIdle().toNanos())) {
				return newest;
			}
			newest.close();
		}
		return null;
	}

	private void connect(InetSocketAddress address, CallOptions options, ClientCall call) {
		this.open.merge(address, 1, Integer::sum);
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_GAP_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(options.connectTimeout().toMillis()))
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(MAXIMUM_INITIAL_LINE_BYTES, MAXIMUM_HEADER_BYTES,
								MAXIMUM_CHUNK_BYTES))
						.addLast(new ClientConnection(ClientConnections.this, address, channel));
				}
			});
		ChannelFuture connecting = bootstrap.connect(address);
		connecting.channel().closeFuture().addListener((closed) -> this.open.merge(address, -1, Integer::sum));
		connecting.addListener((done) -> {
			if (!done.isSuccess()) {
				call.failed(CallFailure.NOT_SENT);
				return;
			}
			ClientConnection connection = connecting.channel().pipeline().get(ClientConnection.class);
			if (call.ended()) {
				keep(connection);
			}
			else if (!call.mayBegin()) {
				keep(connection);
				call.failed(CallFailure.WITHDRAWN);
			}
			else {
				connection.begin(call);
			}
		});
	}

	void keep(ClientConnection connection) {
		connection.idleSince(this.clock.nanos());
		this.idle.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>()).push(connection);
	}

	void closed(ClientConnection connection) {
		Deque<ClientConnection> connections = this.idle.get(connection.address());
		if (connections != null) {
			connections.remove(connection);
			if (connections.isEmpty()) {
				this.idle.remove(connection.address());
			}
		}
	}

}
