package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * A caller's HTTP/1.1 connection. Reads complete requests, which may be pipelined, and
 * writes their responses in the same order.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

	/** The connection of a caller that pipelines more requests is closed. */
	private static final int MAXIMUM_PIPELINED = 16;

	private static final int MAXIMUM_UNWRITTEN_BYTES = 16 << 10;

	/**
	 * Time for which a new connection is not idle: its first request may be in transit.
	 */
	private static final Duration FIRST_REQUEST_TIME = Duration.ofSeconds(1);

	/** Time after which requests that take much memory may have ended. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(500);

	private final CallerServer server;

	private final Queue<CallerRequest> pipelinedRequests = new ArrayDeque<>();

	private @Nullable Channel channel;

	private @Nullable HttpRequest requestHead;

	private ByteBuf requestBody = Unpooled.EMPTY_BUFFER;

	private final CallerMemory memory;

	private int inFlightBytes;

	private ByteBuf unwrittenContent = Unpooled.EMPTY_BUFFER;

	private @Nullable InFlightRequest inFlight;

	private boolean keepAliveRequested;

	private boolean chunksUnderstood;

	private boolean streaming;

	private boolean closing;

	private boolean discardingBody;

	private boolean requestBegun;

	private long openedAt;

	private @Nullable ChannelFuture lastResponse;

	/** The bytes of responses that were not sent when the idle timer was started. */
	private long unsentBytes;

	private @Nullable ScheduledFuture<?> timer;

	CallerConnection(CallerServer server) {
		this.server = server;
		this.memory = new CallerMemory(server.requestMemory());
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.openedAt = this.server.clock().nanos();
		this.server.opened(this);
		startIdleTimer();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.closing) {
			if (this.discardingBody && message instanceof LastHttpContent) {
				close();
			}
			return;
		}
		if (message.decoderResult().isFailure()) {
			rejectUndecodable(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest request) {
			beginRequest(context, request);
		}
		if (message instanceof HttpContent content && this.requestHead != null) {
			readBody(content);
		}
	}

	private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
		this.requestHead = request;
		this.requestBegun = true;
		this.requestBody = Unpooled.EMPTY_BUFFER;
		if (HttpUtil.is100ContinueExpected(request)) {
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().maxBodyBytes()) {
			reject(ErrorKind.BODY_TOO_LARGE);
			return;
		}
		if (!this.memory.tryTake(CallerMemory.sizeOf(request))) {
			rejectForMemory();
			return;
		}
		startTimer(this.server.limits().idleTimeout(), () -> reject(ErrorKind.REQUEST_TOO_SLOW));
	}

	private void readBody(HttpContent content) {
		int added = content.content().readableBytes();
		if (this.requestBody.readableBytes() + added > this.server.limits().maxBodyBytes()) {
			reject(ErrorKind.BODY_TOO_LARGE);
			return;
		}
		if (added > 0) {
			if (this.requestBody.capacity() == 0) {
				this.requestBody = Unpooled.buffer(0);
			}
			if (!this.memory.tryEnlarge(this.requestBody, added, this.server.limits().maxBodyBytes())) {
				rejectForMemory();
				return;
			}
			this.requestBody.writeBytes(content.content());
		}
		if (content instanceof LastHttpContent) {
			HttpRequest completeHead = this.requestHead;
			this.requestHead = null;
			stopTimer();
			if (completeHead != null) {
				this.pipelinedRequests
					.add(new CallerRequest(completeHead, this.requestBody, this.server.clock().nanos()));
			}
			if (this.pipelinedRequests.size() > MAXIMUM_PIPELINED) {
				close();
				return;
			}
			startNext();
		}
	}

	// Starts the next request unless one is in progress or the caller has not read the
	// responses before it, which would accumulate.
	private void startNext() {
		if (this.inFlight != null || this.closing) {
			return;
		}
		CallerRequest request = isWritable() ? this.pipelinedRequests.poll() : null;
		if (request == null) {
			startIdleTimer();
			return;
		}
		this.inFlightBytes = CallerMemory.sizeOf(request);
		this.keepAliveRequested = HttpUtil.isKeepAlive(request.head());
		this.chunksUnderstood = request.head().protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
		this.inFlight = InFlightRequest.NO_OP;
		InFlightRequest started = this.server.begin(this, request);
		if (InFlightRequest.NO_OP.equals(this.inFlight)) {
			this.inFlight = started;
		}
	}

	/**
	 * Writes a complete response.
	 * @param response the response, without hop-by-hop headers
	 */
	void respond(FullHttpResponse response) {
		respond(response, () -> {
		});
	}

	/**
	 * Writes a complete response.
	 * @param response the response, without hop-by-hop headers
	 * @param onWritten called when the response takes no memory any more
	 */
	void respond(FullHttpResponse response, Runnable onWritten) {
		Channel openChannel = this.channel;
		if (openChannel == null || this.inFlight == null) {
			response.release();
			onWritten.run();
			return;
		}
		boolean keepAlive = keepsAlive();
		HttpUtil.setContentLength(response, response.content().readableBytes());
		setConnection(response, keepAlive);
		ChannelFuture written = openChannel.writeAndFlush(response);
		written.addListener((future) -> onWritten.run());
		finish(written, keepAlive);
	}

	/**
	 * Begins a streaming response.
	 * @param start the status and headers
	 */
	void beginStream(HttpResponse start) {
		this.streaming = true;
		HttpUtil.setTransferEncodingChunked(start, this.chunksUnderstood);
		this.keepAliveRequested = this.chunksUnderstood && keepsAlive();
		setConnection(start, this.keepAliveRequested);
		if (this.channel != null) {
			setResetOnClose(this.channel, true);
			this.channel.write(start);
		}
	}

	/**
	 * Writes a chunk of a streaming response.
	 * @param content the bytes
	 */
	void writeContent(byte[] content) {
		Channel openChannel = this.channel;
		if (openChannel == null) {
			return;
		}
		if (this.unwrittenContent.capacity() == 0) {
			this.unwrittenContent = Unpooled.buffer(content.length);
			openChannel.eventLoop().execute(this::writeIfWritable);
		}
		this.unwrittenContent.writeBytes(content);
	}

	// Many small chunks take far more memory and time than their bytes: what is read at
	// once, and while the caller's connection takes no more, is written as one.
	private void writeIfWritable() {
		Channel openChannel = this.channel;
		if (openChannel == null || !openChannel.isWritable()) {
			return;
		}
		writeUnwrittenContent(openChannel);
		InFlightRequest current = this.inFlight;
		if (current == null) {
			startNext();
		}
		else if (isWritable()) {
			current.callerWritable();
		}
	}

	private void writeUnwrittenContent(Channel openChannel) {
		ByteBuf content = this.unwrittenContent;
		this.unwrittenContent = Unpooled.EMPTY_BUFFER;
		if (content.isReadable()) {
			openChannel.writeAndFlush(new DefaultHttpContent(content));
		}
	}

	/**
	 * Returns whether the caller has read enough of its response for more to be written.
	 * @return {@code false} while more than the channel's high watermark is not sent
	 */
	boolean isWritable() {
		return this.channel != null && this.channel.isWritable()
				&& this.unwrittenContent.readableBytes() < MAXIMUM_UNWRITTEN_BYTES;
	}

	/**
	 * Ends a complete streaming response.
	 */
	void endStream() {
		Channel openChannel = this.channel;
		if (openChannel != null) {
			setResetOnClose(openChannel, false);
			writeUnwrittenContent(openChannel);
			finish(openChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepsAlive());
		}
	}

	// During a shutdown, requests that were read are still answered.
	private boolean keepsAlive() {
		return this.keepAliveRequested && (!this.server.stopping() || !this.pipelinedRequests.isEmpty());
	}

	/**
	 * Aborts an incomplete response by closing the connection, so that the caller can
	 * detect the truncation.
	 */
	void abort() {
		if (this.channel != null) {
			writeUnwrittenContent(this.channel);
		}
		close();
	}

	// Without chunks, only a reset shows that a stream is truncated. The socket is set to
	// reset beforehand, since the process may end too.
	private void setResetOnClose(Channel openChannel, boolean reset) {
		if (!this.chunksUnderstood) {
			openChannel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
		}
	}

	boolean streaming() {
		return this.streaming;
	}

	/**
	 * Closes the connection if it has no request in progress.
	 */
	void closeIfIdle() {
		boolean written = this.lastResponse == null || this.lastResponse.isDone();
		if (this.inFlight == null && this.requestHead == null && this.pipelinedRequests.isEmpty() && written
				&& !this.closing && this.channel != null && !awaitsFirstRequest()) {
			this.closing = true;
			LingeringClose.close(this.channel);
		}
	}

	private boolean awaitsFirstRequest() {
		return !this.requestBegun && this.server.clock().nanos() - this.openedAt < FIRST_REQUEST_TIME.toNanos();
	}

	/**
	 * Rejects a request that is still being read.
	 */
	void rejectUnread() {
		if (this.requestHead != null) {
			reject(ErrorKind.STOPPING);
		}
	}

	private void finish(ChannelFuture writeFuture, boolean keepAlive) {
		this.inFlight = null;
		this.memory.giveBack(this.inFlightBytes);
		this.inFlightBytes = 0;
		this.streaming = false;
		this.lastResponse = writeFuture;
		if (!keepAlive) {
			this.closing = true;
			writeFuture.addListener(LingeringClose.WHEN_WRITTEN);
			startIdleTimer();
			return;
		}
		startNext();
	}

	private static void setConnection(HttpResponse response, boolean keepAlive) {
		response.headers()
			.set(HttpHeaderNames.CONNECTION, keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
	}

	private void rejectUndecodable(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			reject(ErrorKind.HEADERS_TOO_LARGE);
		}
		else {
			reject(ErrorKind.MALFORMED_REQUEST);
		}
	}

	// The connection is closed once the caller has sent the rest of the body, since a
	// reset
	// could overtake the response.
	private void rejectForMemory() {
		this.discardingBody = true;
		reject(ErrorKind.OVERLOADED);
	}

	// Rejects a request that cannot be read further, and closes the connection. While an
	// earlier request has no response yet, the connection is closed without one.
	private void reject(ErrorKind kind) {
		stopTimer();
		this.requestHead = null;
		Channel openChannel = this.channel;
		if (openChannel == null || this.inFlight != null || !this.pipelinedRequests.isEmpty()) {
			close();
			return;
		}
		this.closing = true;
		this.requestBody = Unpooled.EMPTY_BUFFER;
		this.memory.giveBackAll();
		FullHttpResponse response = ErrorResponse.of(kind, retryAfter(kind));
		HttpUtil.setContentLength(response, response.content().readableBytes());
		setConnection(response, false);
		ChannelFuture written = openChannel.writeAndFlush(response);
		if (this.discardingBody) {
			startTimer(this.server.limits().idleTimeout(), this::close);
		}
		else {
			written.addListener(LingeringClose.WHEN_WRITTEN);
		}
		this.server.rejectedBeforeRead(kind);
	}

	private static @Nullable Duration retryAfter(ErrorKind kind) {
		return switch (kind) {
			case OVERLOADED -> RETRY_AFTER;
			case STOPPING -> RequestRouter.RETRY_AFTER;
			default -> null;
		};
	}

	// While a request is read, its own timer runs.
	private void startIdleTimer() {
		if (this.requestHead == null) {
			this.unsentBytes = unsentBytes();
			startTimer(this.server.limits().idleTimeout(), this::closeIdle);
		}
	}

	// A caller that goes on reading a large response is not idle.
	private void closeIdle() {
		if (unsentBytes() < this.unsentBytes) {
			startIdleTimer();
		}
		else if (this.inFlight == null) {
			close();
		}
	}

	private long unsentBytes() {
		ChannelOutboundBuffer buffer = (this.channel != null) ? this.channel.unsafe().outboundBuffer() : null;
		return (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
	}

	private void startTimer(Duration delay, Runnable action) {
		stopTimer();
		if (this.channel != null) {
			this.timer = this.channel.eventLoop().schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private void close() {
		this.closing = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		writeIfWritable();
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		stopTimer();
		this.closing = true;
		this.channel = null;
		this.pipelinedRequests.clear();
		this.memory.giveBackAll();
		InFlightRequest current = this.inFlight;
		this.inFlight = null;
		this.server.closed(this);
		if (current != null) {
			current.callerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// The caller reset the connection or a handler failed; neither leaves it in a
		// usable state.
		this.server.connectionFailed(cause);
		context.close();
	}

}
