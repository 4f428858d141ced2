package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.shared.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP server for callers.
 * <p>
 * A gateway without time for new connections closes them before a request is read.
 * Requests that are read are served.
 */
public final class CallerServer {

	private static final Logger log = LoggerFactory.getLogger(CallerServer.class);

	/** The bytes that wait for a caller before no more are read for it. */
	private static final WriteBufferWaterMark UNREAD_BYTES = new WriteBufferWaterMark(8 << 10, 16 << 10);

	private final EventLoopGroup eventLoops;

	private final MonotonicClock clock;

	private final Supplier<CallerLimits> limits;

	private final RequestDispatcher dispatcher;

	private final ConnectionAdmission admission;

	private final Set<CallerConnection> connections = new HashSet<>();

	private final BodyMemory requestMemory = new BodyMemory();

	private volatile @Nullable Channel serverChannel;

	private boolean stopping;

	/**
	 * Creates the server.
	 * @param eventLoops the event loops that serve the connections
	 * @param clock the monotonic clock
	 * @param limits supplies the current limits
	 * @param dispatcher handles the requests
	 */
	public CallerServer(EventLoopGroup eventLoops, MonotonicClock clock, Supplier<CallerLimits> limits,
			RequestDispatcher dispatcher) {
		this.eventLoops = eventLoops;
		this.clock = clock;
		this.limits = limits;
		this.dispatcher = dispatcher;
		this.admission = new ConnectionAdmission(eventLoops.next(), clock, dispatcher::closedUnread);
	}

	/**
	 * Starts serving connections.
	 * @param socket the bound server socket; connections in its backlog are served too
	 * @return the server channel
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Channel listen(ServerSocketChannel socket) throws InterruptedException {
		Channel listening = new ServerBootstrap().group(this.eventLoops)
			.channelFactory(() -> new NioServerSocketChannel(socket))
			// Connections that wait in the backlog would not be seen to wait.
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ListeningSocket.BACKLOG))
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_BYTES)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new StrictRequestDecoder(limits().maxHeaderBytes()))
						.addLast(new HttpResponseEncoder())
						.addLast(new CallerConnection(CallerServer.this));
					CallerServer.this.admission.add(channel);
				}
			})
			.register()
			.sync()
			.channel();
		this.serverChannel = listening;
		return listening;
	}

	/**
	 * Starts the shutdown: from now on each response closes its connection.
	 */
	public void stop() {
		this.stopping = true;
	}

	/** Accepts no further connections. */
	public void stopAccepting() {
		Channel listening = this.serverChannel;
		if (listening != null) {
			listening.close();
		}
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int openConnections() {
		return this.connections.size();
	}

	/**
	 * Closes the connections that have no request in progress.
	 * @return the number of connections that remain open
	 */
	public int closeIdle() {
		List<CallerConnection> snapshot = new ArrayList<>(this.connections);
		snapshot.forEach(CallerConnection::closeIfIdle);
		return this.connections.size();
	}

	/**
	 * Answers the requests that are still being read, since the process ends.
	 */
	public void rejectUnread() {
		List.copyOf(this.connections).forEach(CallerConnection::rejectUnread);
	}

	BodyMemory requestMemory() {
		return this.requestMemory;
	}

	boolean stopping() {
		return this.stopping;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	MonotonicClock clock() {
		return this.clock;
	}

	InFlightRequest begin(CallerConnection connection, CallerRequest request) {
		return this.dispatcher.begin(connection, request);
	}

	void opened(CallerConnection connection) {
		this.connections.add(connection);
	}

	void closed(CallerConnection connection) {
		this.connections.remove(connection);
	}

	void rejectedBeforeRead(ErrorKind kind) {
		this.dispatcher.rejectedBeforeRead(kind);
	}

	void connectionFailed(Throwable cause) {
		if (cause instanceof IOException) {
			log.debug("Caller reset its connection: {}", cause.toString());
		}
		else {
			log.error("Caller connection failed", cause);
		}
	}

}
