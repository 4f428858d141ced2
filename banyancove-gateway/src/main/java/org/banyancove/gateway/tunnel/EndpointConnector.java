package org.banyancove.gateway.tunnel;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.proxy.HttpProxyHandler;
import io.netty.resolver.NoopAddressResolverGroup;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import jdk.net.ExtendedSocketOptions;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.http.OrderlyEndHandler;
import org.jspecify.annotations.Nullable;

/**
 * Establishes connections, to endpoints also through another gateway.
 */
public final class EndpointConnector {

	/** The header of a tunnel request that names the request that needs the tunnel. */
	static final String REQUEST_ID_HEADER = "request-id";

	/**
	 * The header of a tunnel request that states which side closes the tunnel when it is
	 * idle.
	 */
	static final String CLOSED_BY_HEADER = "closed-by";

	/** The value of that header for the gateway that opened the tunnel. */
	static final String CLOSED_BY_OPENER = "opener";

	/**
	 * TCP keep-alive probes, with the interval and count below, detect a dead peer after
	 * 3 s. No TCP_USER_TIMEOUT is set, which would decide instead of the count.
	 */
	private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

	private static final int KEEP_ALIVE_PROBE_INTERVAL_SECONDS = 1;

	private static final int KEEP_ALIVE_PROBE_COUNT = 2;

	/** The options of all connections between gateways and to endpoints. */
	static final Map<ChannelOption<Object>, Object> CONNECTION_OPTIONS = connectionOptions();

	/** The bytes that are read before a connection is found to be too fast. */
	private static final int MAXIMUM_READ_BYTES = 16 << 10;

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final ChannelFactory<? extends Channel> channelFactory;

	private final DirectPaths paths;

	private final TunnelPeers peers;

	/**
	 * Creates the connector.
	 * @param eventLoop the event loop that serves the connections
	 * @param clock the monotonic clock
	 * @param channelFactory creates the channel of each connection
	 * @param random selects among gateways
	 */
	public EndpointConnector(EventLoop eventLoop, MonotonicClock clock,
			ChannelFactory<? extends Channel> channelFactory, RandomGenerator random) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.channelFactory = channelFactory;
		this.paths = new DirectPaths(random);
		this.peers = new TunnelPeers(random);
	}

	/**
	 * Returns the gateways through which endpoints may be reached.
	 * @return the gateways
	 */
	public TunnelPeers peers() {
		return this.peers;
	}

	/**
	 * Connects to an address directly.
	 * @param address the address
	 * @param timeout the connect timeout
	 * @return completes with the channel
	 */
	public Future<ConnectedChannel> connectDirectly(InetSocketAddress address, Duration timeout) {
		Promise<ConnectedChannel> result = this.eventLoop.newPromise();
		ChannelFuture connect = bootstrap(timeout, new ConnectingHandler()).connect(address);
		connect.addListener((future) -> complete(result, future, connect.channel(), false));
		return result;
	}

	/**
	 * Connects to an endpoint, through another gateway if this one may be partitioned
	 * from the endpoints of the service.
	 * @param address the endpoint's address
	 * @param timeout the timeout of a direct connection
	 * @param context what the connection is needed for
	 * @return completes with the channel
	 */
	public Future<ConnectedChannel> connect(InetSocketAddress address, Duration timeout, ConnectContext context) {
		ConnectAttempt attempt = new ConnectAttempt(this, address, timeout, context, this.eventLoop);
		return attempt.start();
	}

	/**
	 * Returns since when connections to the endpoints of a service may be silently dead.
	 * @param context what a connection is needed for
	 * @return the monotonic time in ns, or {@code null} if there is no such suspicion
	 */
	public @Nullable Long silentSince(ConnectContext context) {
		return this.paths.silentSince(context, now());
	}

	/**
	 * Returns whether no endpoint of a service can be reached directly.
	 * @param context what a connection is needed for
	 * @return whether the latest attempts at all of them failed
	 */
	public boolean isPartitioned(ConnectContext context) {
		return this.paths.allFailed(context, now());
	}

	/**
	 * Returns whether to connect to an endpoint directly, and counts that as an attempt.
	 * @param address the endpoint's address
	 * @return {@code false} if the latest attempt failed and no other one is due
	 */
	boolean claimDirectAttempt(InetSocketAddress address) {
		return !this.paths.failedRecently(address, now()) || this.paths.claimRetry(address, now());
	}

	/**
	 * Opens a tunnel to an endpoint.
	 * @param address the endpoint's address
	 * @param peer the gateway that it leads through
	 * @param timeout the time until the endpoint must be connected
	 * @param requestId the request that needs the tunnel
	 * @return completes with the channel
	 */
	Future<ConnectedChannel> openTunnel(InetSocketAddress address, TunnelPeer peer, Duration timeout,
			String requestId) {
		HttpHeaders headers = new DefaultHttpHeaders().set(REQUEST_ID_HEADER, requestId)
			.set(CLOSED_BY_HEADER, CLOSED_BY_OPENER);
		HttpProxyHandler handshake = new HttpProxyHandler(peer.address(), headers);
		handshake.setConnectTimeoutMillis(timeout.toMillis());
		Promise<ConnectedChannel> result = this.eventLoop.newPromise();
		Bootstrap bootstrap = bootstrap(timeout, handshake, new ConnectingHandler());
		TunnelPeer own = this.peers.own();
		if (own != null) {
			bootstrap.localAddress(own.address().getAddress(), 0);
		}
		// A numeric address, whatever name it was created with.
		ChannelFuture connect = bootstrap.connect(numeric(address));
		handshake.connectFuture().addListener((future) -> complete(result, future, connect.channel(), true));
		connect.addListener((future) -> {
			if (!future.isSuccess()) {
				complete(result, future, connect.channel(), true);
			}
		});
		return result;
	}

	@SuppressWarnings("unchecked")
	private static Map<ChannelOption<Object>, Object> connectionOptions() {
		Map<ChannelOption<?>, Object> options = Map.of(ChannelOption.TCP_NODELAY, true, ChannelOption.SO_KEEPALIVE,
				true, ChannelOption.ALLOW_HALF_CLOSURE, true, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
				KEEP_ALIVE_IDLE_SECONDS, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
				KEEP_ALIVE_PROBE_INTERVAL_SECONDS, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
				KEEP_ALIVE_PROBE_COUNT);
		return (Map<ChannelOption<Object>, Object>) (Map<?, ?>) options;
	}

	private static InetSocketAddress numeric(InetSocketAddress address) {
		try {
			return new InetSocketAddress(InetAddress.getByAddress(address.getAddress().getAddress()),
					address.getPort());
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("address must be an IP address: " + address, ex);
		}
	}

	private static void complete(Promise<ConnectedChannel> result, Future<?> connected, Channel channel,
			boolean tunnelled) {
		if (connected.isSuccess() && !channel.isActive()) {
			result.tryFailure(new ConnectException("connection closed before a request was sent"));
		}
		else if (connected.isSuccess()) {
			channel.pipeline().remove(ConnectingHandler.class);
			result.trySuccess(new ConnectedChannel(channel, tunnelled));
		}
		else {
			channel.close();
			result.tryFailure(connected.cause());
		}
	}

	private Bootstrap bootstrap(Duration timeout, ChannelHandler... handlers) {
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoop)
			.channelFactory(this.channelFactory)
			.resolver(NoopAddressResolverGroup.INSTANCE)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(timeout.toMillis()))
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(64, MAXIMUM_READ_BYTES / 4, MAXIMUM_READ_BYTES))
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new OrderlyEndHandler()).addLast(handlers);
				}
			});
		CONNECTION_OPTIONS.forEach(bootstrap::option);
		return bootstrap;
	}

	static boolean isTimeout(Throwable cause) {
		return cause instanceof ConnectTimeoutException;
	}

	DirectPaths paths() {
		return this.paths;
	}

	long now() {
		return this.clock.nanos();
	}

}
