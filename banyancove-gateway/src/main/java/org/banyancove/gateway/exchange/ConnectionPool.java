package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.tunnel.ConnectContext;
import org.banyancove.gateway.tunnel.ConnectedChannel;
import org.banyancove.gateway.tunnel.EndpointConnector;
import org.banyancove.gateway.tunnel.TunnelServer;
import org.banyancove.http.FramingViolation;
import org.jspecify.annotations.Nullable;

/**
 * A pool of connections to endpoints and to the platform, each with one request at a
 * time.
 * <p>
 * The most recently used idle connection is reused first: it is the least likely to be
 * dead, and the others can expire.
 */
public final class ConnectionPool {

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final EndpointConnector connector;

	private final Map<InetSocketAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();

	private final Map<InetSocketAddress, Integer> openConnections = new HashMap<>();

	/**
	 * The shortest time for which a gateway that accepted a tunnel keeps it open, or
	 * {@code null} if that is unknown.
	 */
	private @Nullable Duration tunnelLifetime;

	private FramingListener framingListener = (address, requestId, violation) -> {
	};

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
		this.connector = new EndpointConnector(eventLoop, clock, channelFactory, new SplittableRandom());
	}

	/**
	 * Sets the listener of framing violations.
	 * @param listener the listener
	 */
	public void setFramingListener(FramingListener listener) {
		this.framingListener = listener;
	}

	MonotonicClock clock() {
		return this.clock;
	}

	/**
	 * Sets the time for which tunnels are certain to last: from the signal to stop to the
	 * end of a process. The gateways of a fleet have the same, and one that is stopping
	 * accepts no tunnel.
	 * @param lifetime the time from the opening of a tunnel
	 */
	public void setTunnelLifetime(Duration lifetime) {
		this.tunnelLifetime = lifetime;
	}

	/**
	 * Returns the connector that establishes the connections.
	 * @return the connector
	 */
	public EndpointConnector connector() {
		return this.connector;
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
		ClientCall call = new ClientCall(request, options.requestId(), listener);
		ClientConnection pooled = options.dedicated() ? null : acquireIdle(address, options);
		if (pooled != null) {
			pooled.send(call);
		}
		else if (isFull(address, options)) {
			this.eventLoop.execute(() -> call.failed(CallFailure.NO_FREE_CONNECTION));
		}
		else {
			connect(address, options, call);
		}
		return call;
	}

	// A dedicated connection takes the place of an idle one.
	private boolean isFull(InetSocketAddress address, CallOptions options) {
		int maximum = options.connections().open();
		Deque<ClientConnection> idle = this.idleConnections.get(address);
		if (options.dedicated() && idle != null && !idle.isEmpty()
				&& this.openConnections.getOrDefault(address, 0) >= maximum) {
			idle.getLast().close();
		}
		return this.openConnections.getOrDefault(address, 0) >= maximum;
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
		ConnectContext context = options.context();
		Long silentSince = (connections != null && context != null) ? this.connector.silentSince(context) : null;
		ClientConnection unsuited = null;
		for (ClientConnection newest : (connections != null) ? List.copyOf(connections) : List.<ClientConnection>of()) {
			boolean usable = newest.isUsable(this.clock.nanos(), options.maximumIdleTime().toNanos())
					&& !newest.isIdleSince(silentSince);
			if (usable && newest.lastsUntil(this.clock.nanos() + options.maximumDuration().toNanos())) {
				removeIdle(newest);
				return newest;
			}
			if (usable) {
				unsuited = newest;
			}
			else {
				removeIdle(newest);
				newest.close();
			}
		}
		if (unsuited != null) {
			// The tunnel that is opened instead takes its place.
			removeIdle(unsuited);
			unsuited.close();
		}
		return null;
	}

	private void connect(InetSocketAddress address, CallOptions options, ClientCall call) {
		this.openConnections.merge(address, 1, Integer::sum);
		long startedAt = this.clock.nanos();
		connected(address, options).addListener((Future<ConnectedChannel> future) -> {
			if (!future.isSuccess()) {
				this.openConnections.merge(address, -1, Integer::sum);
				call.failed((future.cause() instanceof ConnectTimeoutException) ? CallFailure.CONNECT_TIMED_OUT
						: CallFailure.CONNECT_REFUSED);
				return;
			}
			use(newConnection(address, future.getNow(), options, startedAt), call);
		});
	}

	private Future<ConnectedChannel> connected(InetSocketAddress address, CallOptions options) {
		ConnectContext context = options.context();
		return (context != null) ? this.connector.connect(address, options.connectTimeout(), context)
				: this.connector.connectDirectly(address, options.connectTimeout());
	}

	private ClientConnection newConnection(InetSocketAddress address, ConnectedChannel connected, CallOptions options,
			long startedAt) {
		Channel channel = connected.channel();
		channel.closeFuture().addListener((future) -> this.openConnections.merge(address, -1, Integer::sum));
		long connectedAt = this.clock.nanos();
		long expiresAt = connected.tunnelled() ? connectedAt + TunnelServer.MAXIMUM_AGE.toNanos() : Long.MAX_VALUE;
		Duration lifetime = connected.tunnelled() ? this.tunnelLifetime : null;
		// The peer may have accepted the tunnel at once, and been told to stop right
		// after.
		long endsAt = (lifetime != null) ? startedAt + lifetime.toNanos() : Long.MAX_VALUE;
		ClientConnection connection = new ClientConnection(this, address, channel, options, connectedAt, expiresAt,
				endsAt);
		channel.pipeline().addLast(new HttpRequestEncoder()).addLast(connection.decoder()).addLast(connection);
		if (connected.tunnelled()) {
			this.eventLoop.schedule(() -> closeIfIdle(connection), TunnelServer.MAXIMUM_AGE.toNanos(),
					TimeUnit.NANOSECONDS);
		}
		return connection;
	}

	private void use(ClientConnection connection, ClientCall call) {
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
	}

	// The other gateways may need connections that are beyond this gateway's part.
	void release(ClientConnection connection) {
		if (connection.dedicated() || connection.isExpired(this.clock.nanos())
				|| this.openConnections.getOrDefault(connection.address(), 0) > connection.limit().kept()) {
			connection.close();
			return;
		}
		connection.idleSince(this.clock.nanos());
		this.idleConnections.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>()).push(connection);
	}

	void framingViolated(ClientConnection connection, @Nullable ClientCall call, FramingViolation violation) {
		this.framingListener.framingViolated(connection.address(), (call != null) ? call.requestId() : null, violation);
	}

	// A gateway cannot tell an idle tunnel that leads through it from one whose response
	// pauses.
	private void closeIfIdle(ClientConnection tunnel) {
		Deque<ClientConnection> connections = this.idleConnections.get(tunnel.address());
		if (connections != null && connections.contains(tunnel)) {
			removeIdle(tunnel);
			tunnel.close();
		}
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
