package org.banyancove.gateway.tunnel;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import org.banyancove.http.OrderlyEndHandler;
import org.jspecify.annotations.Nullable;

/**
 * Accepts tunnels of gateways that are partitioned from endpoints, as HTTP CONNECT.
 * <p>
 * A tunnel leads to a listed endpoint and always directly, so that there are no loops.
 * Everything else about its requests is decided by the gateway that opened it.
 */
public final class TunnelServer {

	/**
	 * Time after which a tunnel is used for no further request. A gateway that shuts down
	 * refuses new tunnels, so that it has no requests of other gateways soon afterwards.
	 */
	public static final Duration MAXIMUM_AGE = Duration.ofSeconds(2);

	/** Bounds the memory and descriptors that other gateways' requests take. */
	private static final int MAXIMUM_TUNNELS = 256;

	/** Time without data after which a tunnel without a request in progress is closed. */
	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(10);

	/**
	 * The same during a shutdown: longer than the time for which the other side reuses a
	 * tunnel.
	 */
	private static final Duration MAXIMUM_IDLE_TIME_STOPPING = MAXIMUM_AGE.plusMillis(500);

	private final EventLoopGroup eventLoops;

	private final EndpointConnector connector;

	private final Predicate<InetAddress> isGateway;

	private final Predicate<InetSocketAddress> isEndpoint;

	private final TunnelListener listener;

	private final Set<Tunnel> tunnels = new HashSet<>();

	private int connecting;

	private boolean stopping;

	/**
	 * Creates the server.
	 * @param eventLoops the event loops that serve the connections
	 * @param connector connects to endpoints
	 * @param isGateway whether an address is that of a gateway of the fleet
	 * @param isEndpoint whether an address is that of a listed endpoint
	 * @param listener receives the outcomes
	 */
	public TunnelServer(EventLoopGroup eventLoops, EndpointConnector connector, Predicate<InetAddress> isGateway,
			Predicate<InetSocketAddress> isEndpoint, TunnelListener listener) {
		this.eventLoops = eventLoops;
		this.connector = connector;
		this.isGateway = isGateway;
		this.isEndpoint = isEndpoint;
		this.listener = listener;
	}

	/**
	 * Starts accepting tunnels.
	 * @param address the address to listen on
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void listen(InetSocketAddress address) throws InterruptedException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true);
		EndpointConnector.CONNECTION_OPTIONS.forEach(bootstrap::childOption);
		bootstrap.childHandler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new OrderlyEndHandler(), new HttpServerCodec(),
							new TunnelRequestHandler(TunnelServer.this));
			}
		}).bind(address).sync();
	}

	/** Starts the shutdown: no further tunnels are accepted. */
	public void stop() {
		this.stopping = true;
	}

	/**
	 * Closes the tunnels that have had no request for a while.
	 * @return the number of tunnels that remain open or are being opened
	 */
	public int closeIdle() {
		Duration maximum = this.stopping ? MAXIMUM_IDLE_TIME_STOPPING : MAXIMUM_IDLE_TIME;
		List.copyOf(this.tunnels).forEach((tunnel) -> tunnel.closeIfIdle(maximum, this.connector.now()));
		return this.tunnels.size() + this.connecting;
	}

	@Nullable TunnelRefusal refusal(InetSocketAddress from, @Nullable InetSocketAddress target) {
		if (!this.isGateway.test(from.getAddress())) {
			return TunnelRefusal.NOT_A_GATEWAY;
		}
		if (target == null || !this.isEndpoint.test(target)) {
			return TunnelRefusal.NOT_AN_ENDPOINT;
		}
		if (this.stopping) {
			return TunnelRefusal.SHUTTING_DOWN;
		}
		if (this.tunnels.size() + this.connecting >= MAXIMUM_TUNNELS) {
			return TunnelRefusal.TOO_MANY_TUNNELS;
		}
		return mayConnect(target) ? null : TunnelRefusal.ENDPOINT_UNREACHABLE;
	}

	// While this gateway may be partitioned itself, one attempt at a time shows whether
	// it
	// still is; the others are better off at another gateway than waiting for it.
	private boolean mayConnect(InetSocketAddress target) {
		boolean waits = this.connecting > 0 && this.connector.paths().isolationSuspected(this.connector.now());
		return !waits && this.connector.claimDirectAttempt(target);
	}

	void connecting() {
		this.connecting++;
	}

	void connectEnded(InetSocketAddress target, @Nullable Throwable failure) {
		this.connecting--;
		if (failure == null) {
			this.connector.paths().recordSuccess(target, this.connector.now());
		}
		else {
			this.connector.paths()
				.recordFailure(target, null, EndpointConnector.isTimeout(failure), this.connector.now());
		}
	}

	void opened(Channel gatewaySide, Channel endpointSide, boolean closedByOpener) {
		Tunnel tunnel = new Tunnel(gatewaySide, endpointSide, this.connector, closedByOpener);
		this.tunnels.add(tunnel);
		gatewaySide.closeFuture().addListener((future) -> this.tunnels.remove(tunnel));
	}

	EndpointConnector connector() {
		return this.connector;
	}

	TunnelListener listener() {
		return this.listener;
	}

}
