package org.banyancove.transport;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.wire.Envelope;

/**
 * Sends messages to peers and receives their messages. Messages may be lost, resent by
 * their senders, and reordered between connections, but are never corrupted. A single
 * dedicated thread performs all input and output.
 */
public final class PeerTransport implements AutoCloseable {

	static final int LENGTH_BYTES = 4;

	private static final long CLOSE_TIMEOUT_SECONDS = 5;

	private final TransportSettings settings;

	private final PeerListener listener;

	private final RandomGenerator random;

	private final TransportCounters counters = new TransportCounters();

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.group.next();

	private final ChannelGroup channels = new DefaultChannelGroup(this.eventLoop);

	private final AtomicBoolean closed = new AtomicBoolean();

	private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

	/**
	 * Creates the transport, without listening or connecting.
	 * @param settings the limits and timeouts
	 * @param random the random generator for the jitter of reconnect delays
	 * @param listener the receiver of messages, called on the transport's thread
	 */
	public PeerTransport(TransportSettings settings, RandomGenerator random, PeerListener listener) {
		this.settings = settings;
		this.random = random;
		this.listener = listener;
		long sweepMillis = settings.idleTimeout().toMillis();
		this.eventLoop.scheduleAtFixedRate(this::closeIdle, sweepMillis, sweepMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Listens for connections of peers.
	 * @param address the address; port 0 selects a free port
	 * @return the bound address
	 * @throws BanyancoveException with {@link ErrorKind#ADDRESS_IN_USE} if the address
	 * cannot be bound
	 */
	public InetSocketAddress listen(InetSocketAddress address) {
		ServerBootstrap server = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer(false));
		ChannelFuture bound = server.bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new BanyancoveException(ErrorKind.ADDRESS_IN_USE, "Cannot listen for peers on " + address,
					bound.cause());
		}
		this.channels.add(bound.channel());
		return (InetSocketAddress) bound.channel().localAddress();
	}

	/**
	 * Sends a message without blocking.
	 * @param address the peer's address in the form {@code host:port}
	 * @param message the message
	 * @return whether the message was queued; {@code false} if it was dropped because the
	 * peer's queue is full, the message exceeds the maximum frame size, or the transport
	 * is closed
	 * @throws IllegalArgumentException if the address has no port
	 */
	public boolean send(String address, PeerMessage message) {
		Envelope envelope = PeerMessageCodec.encode(message);
		if (this.closed.get() || envelope.getSerializedSize() > this.settings.maximumFrameBytes()) {
			this.counters.countDropped();
			return false;
		}
		return this.links.computeIfAbsent(address, this::newLink).send(envelope);
	}

	/**
	 * Returns the counters of the transport.
	 * @return the counters
	 */
	public TransportCounters counters() {
		return this.counters;
	}

	/**
	 * Closes all connections after the queued messages are written, and stops the thread.
	 */
	@Override
	public void close() {
		if (!this.closed.compareAndSet(false, true)) {
			return;
		}
		this.links.values()
			.stream()
			.map(PeerLink::close)
			.toList()
			.forEach((link) -> link.awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
		this.channels.close().awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		this.group.shutdownGracefully(0, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private PeerLink newLink(String address) {
		int colon = address.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("address must have the form host:port: '" + address + "'");
		}
		InetSocketAddress socketAddress = new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)));
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.settings.connectTimeout().toMillis())
			.handler(initializer(true));
		return new PeerLink(socketAddress, bootstrap, this.eventLoop, this.settings, this.counters, this.random);
	}

	private void closeIdle() {
		long now = System.nanoTime();
		this.links.forEach((address, link) -> {
			if (link.isIdle(now) && this.links.remove(address, link)) {
				link.close();
			}
		});
	}

	private ChannelInitializer<Channel> initializer(boolean initiator) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				PeerTransport.this.channels.add(channel);
				channel.pipeline()
					.addLast(new IdleStateHandler(PeerTransport.this.settings.silenceTimeout().toNanos() / 2, 0, 0,
							TimeUnit.NANOSECONDS))
					.addLast(new LengthFieldBasedFrameDecoder(PeerTransport.this.settings.maximumFrameBytes(), 0,
							LENGTH_BYTES, 0, LENGTH_BYTES))
					.addLast(new LengthFieldPrepender(LENGTH_BYTES))
					.addLast(new ConnectionHandler(initiator, PeerTransport.this.settings, PeerTransport.this.counters,
							PeerTransport.this.listener));
			}

		};
	}

}
