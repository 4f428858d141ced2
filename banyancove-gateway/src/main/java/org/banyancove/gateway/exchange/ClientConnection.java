package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.banyancove.http.EndConfirmation;
import org.banyancove.http.FramingViolation;
import org.banyancove.http.OrderlyEndHandler;
import org.banyancove.http.StrictResponseDecoder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A pooled connection to an endpoint or the platform, with at most one call in progress.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

	private static final Logger log = LoggerFactory.getLogger(ClientConnection.class);

	/**
	 * The keep-alive timeout if the server states none; most servers use 5 s or more.
	 */
	private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

	/**
	 * The safety margin below a server's keep-alive timeout, which may expire while the
	 * request is in transit.
	 */
	private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(1200);

	/** Interim responses and responses to other requests that precede a response. */
	private static final int MAXIMUM_IGNORED_BYTES = 256 * 1024;

	private static final int IGNORED_HEAD_BYTES = 4 * 1024;

	private final ConnectionPool pool;

	private final InetSocketAddress address;

	private final Channel channel;

	/** The limit under which the connection was established. */
	private final ConnectionLimit limit;

	private final boolean dedicated;

	private final long connectedAt;

	private final long expiresAt;

	/** Until when the connection is certain to last, unless it is disrupted. */
	private final long endsAt;

	private final StrictResponseDecoder decoder;

	private @Nullable ClientCall call;

	private int calls;

	private @Nullable ChannelFuture requestWrite;

	private long requestWrittenAt;

	private boolean headReceived;

	private boolean ignoringResponse;

	private boolean responseDiscarded;

	private int ignoredBytes;

	/** Whether the response is a success whose end is that of the connection. */
	private boolean endsWithConnection;

	private boolean reusable;

	private long idleSince;

	private Duration keepAliveTimeout = DEFAULT_KEEP_ALIVE;

	ClientConnection(ConnectionPool pool, InetSocketAddress address, Channel channel, CallOptions options,
			long connectedAt, long expiresAt, long endsAt) {
		this.pool = pool;
		this.address = address;
		this.channel = channel;
		this.limit = options.connections();
		this.dedicated = options.dedicated();
		this.connectedAt = connectedAt;
		this.expiresAt = expiresAt;
		this.endsAt = endsAt;
		this.decoder = new StrictResponseDecoder(this::framingViolated, pool.clock()::nanos);
	}

	InetSocketAddress address() {
		return this.address;
	}

	StrictResponseDecoder decoder() {
		return this.decoder;
	}

	ConnectionLimit limit() {
		return this.limit;
	}

	boolean dedicated() {
		return this.dedicated;
	}

	long connectedAt() {
		return this.connectedAt;
	}

	void idleSince(long now) {
		this.idleSince = now;
	}

	boolean isUsable(long now, long maximumIdleNanos) {
		long idle = now - this.idleSince;
		return this.channel.isActive() && !isExpired(now) && idle <= maximumIdleNanos
				&& idle < this.keepAliveTimeout.toNanos();
	}

	boolean isExpired(long now) {
		return now >= this.expiresAt;
	}

	boolean lastsUntil(long time) {
		return time <= this.endsAt;
	}

	boolean isIdleSince(@Nullable Long time) {
		return time != null && this.idleSince <= time;
	}

	void send(ClientCall newCall) {
		this.call = newCall;
		this.calls++;
		this.headReceived = false;
		this.ignoringResponse = false;
		this.ignoredBytes = 0;
		this.decoder.expectResponse(newCall.method());
		this.requestWrite = this.channel.writeAndFlush(newCall.assignTo(this, this.calls));
		this.requestWrite.addListener((written) -> this.requestWrittenAt = this.pool.clock().nanos());
	}

	void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Resets the connection and discards data that is not yet delivered. After an orderly
	 * close, a request delayed by a network partition would still be delivered when the
	 * partition heals, and run seconds after its caller was told that the outcome is
	 * unknown.
	 */
	void reset() {
		if (!this.channel.isOpen()) {
			return;
		}
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		ClientCall current = this.call;
		if (current == null) {
			// An unsolicited response, such as a duplicate: the next call on this
			// connection would mistake it for its own response.
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			fail(CallFailure.UNREADABLE);
			return;
		}
		if (message instanceof HttpResponse head) {
			readHead(current, head);
		}
		if (message instanceof HttpContent content) {
			readContent(current, content);
		}
	}

	private void readHead(ClientCall current, HttpResponse head) {
		// No call asks for another protocol, and the decoder reads no response after it.
		if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			fail(CallFailure.UNREADABLE);
			return;
		}
		boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		ResponseMatch match = informational ? ResponseMatch.OTHER : current.match(head);
		this.ignoringResponse = switch (match) {
			case OWN -> false;
			case OTHER, CONTRADICTORY -> true;
			case UNIDENTIFIED, UNREADABLE -> this.calls > 1;
		};
		if (this.ignoringResponse) {
			if (!informational) {
				discard(current, head);
			}
			if (match == ResponseMatch.UNREADABLE || match == ResponseMatch.CONTRADICTORY) {
				fail(CallFailure.UNREADABLE);
			}
			else {
				ignore(IGNORED_HEAD_BYTES);
			}
			return;
		}
		this.headReceived = true;
		boolean delimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
		this.reusable = match == ResponseMatch.OWN && HttpUtil.isKeepAlive(head) && delimited;
		this.endsWithConnection = !delimited && head.status().codeClass() == HttpStatusClass.SUCCESS;
		current.head(head);
		this.keepAliveTimeout = parseKeepAliveTimeout(head);
	}

	private void discard(ClientCall current, HttpResponse head) {
		current.discarded(head);
		this.responseDiscarded = true;
		this.decoder.discardResponse();
	}

	private void readContent(ClientCall current, HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.ignoringResponse) {
			ignore(content.content().readableBytes());
			return;
		}
		if (content.content().isReadable()) {
			current.content(content.content());
		}
		if (!last || this.call != current || current.ended()) {
			return;
		}
		// The decoder also ends a response that is delimited by the end of its connection
		// when that was cut.
		ChannelFuture write = this.requestWrite;
		if (OrderlyEndHandler.isBroken(this.channel)) {
			fail(CallFailure.BROKEN_ANSWER);
		}
		else if (this.endsWithConnection && write != null && OrderlyEndHandler.hasEnded(this.channel)
				&& EndConfirmation.isNeeded(current.requestBytes(), write)) {
			EndConfirmation.start(this.channel, write, this.requestWrittenAt, this.pool.clock()::nanos,
					(complete) -> endConfirmed(current, complete));
		}
		else {
			finish(current);
		}
	}

	private void endConfirmed(ClientCall confirmed, boolean complete) {
		if (this.call != confirmed || confirmed.ended()) {
			return;
		}
		if (complete) {
			finish(confirmed);
		}
		else {
			fail(CallFailure.BROKEN_ANSWER);
		}
	}

	private void ignore(int bytes) {
		this.ignoredBytes += bytes;
		if (this.ignoredBytes > MAXIMUM_IGNORED_BYTES) {
			fail(CallFailure.UNREADABLE);
		}
	}

	private void framingViolated(FramingViolation violation) {
		this.pool.framingViolated(this, this.call, violation);
		if (violation != FramingViolation.BYTES_AFTER_RESPONSE) {
			fail(CallFailure.UNREADABLE);
		}
	}

	private void finish(ClientCall current) {
		boolean lastBytes = this.decoder.endResponse();
		if (this.call != current) {
			return;
		}
		this.call = null;
		setReading(true);
		if (lastBytes && isReusable()) {
			this.pool.release(this);
		}
		else {
			close();
		}
		current.completed();
	}

	// A response may precede the end of the request. The server would read the rest of
	// the request as the start of the next one.
	private boolean isReusable() {
		ChannelFuture pendingWrite = this.requestWrite;
		return this.reusable && !this.responseDiscarded && pendingWrite != null && pendingWrite.isDone()
				&& this.channel.isActive();
	}

	private static Duration parseKeepAliveTimeout(HttpResponse head) {
		String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
		if (value == null) {
			return DEFAULT_KEEP_ALIVE;
		}
		for (String part : value.split(",")) {
			String[] pair = part.trim().split("=", 2);
			if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
				Duration stated = Duration.ofSeconds(Long.parseLong(pair[1]));
				Duration kept = stated.minus(KEEP_ALIVE_MARGIN);
				return kept.isNegative() ? stated.dividedBy(4) : kept;
			}
		}
		return DEFAULT_KEEP_ALIVE;
	}

	private void fail(CallFailure failure) {
		ClientCall current = this.call;
		this.call = null;
		close();
		if (current != null) {
			current.failed(failure);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.removeIdle(this);
		fail(this.headReceived ? CallFailure.BROKEN_ANSWER : CallFailure.NO_ANSWER);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			log.error("Connection to {} failed", this.address, cause);
		}
		fail(this.headReceived ? CallFailure.BROKEN_ANSWER : CallFailure.NO_ANSWER);
	}

}
