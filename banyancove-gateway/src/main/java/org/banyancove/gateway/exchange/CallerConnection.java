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
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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
 * One caller's connection: reads whole requests, one after the other, and writes their
 * answers in that order.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

	/** A caller that sends more requests ahead of their answers is cut off. */
	private static final int MAXIMUM_PIPELINED = 16;

	private final CallerServer server;

	private final Queue<CallerRequest> ahead = new ArrayDeque<>();

	private @Nullable Channel channel;

	private @Nullable HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private @Nullable ResponseSubscription answering;

	private boolean answerKeepsOpen;

	private boolean streaming;

	private boolean closing;

	private @Nullable ScheduledFuture<?> timer;

	CallerConnection(CallerServer server) {
		this.server = server;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.server.opened(this);
		awaitRequest();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.closing) {
			return;
		}
		if (message.decoderResult().isFailure()) {
			refuseUnreadable(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest request) {
			beginRequest(context, request);
		}
		if (message instanceof HttpContent content && this.head != null) {
			readBody(content);
		}
	}

	private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
		this.head = request;
		this.body = Unpooled.EMPTY_BUFFER;
		if (HttpUtil.is100ContinueExpected(request)) {
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().maxBodyBytes()) {
			reject(ErrorKind.BODY_TOO_LARGE);
			return;
		}
		startTimer(this.server.limits().idleTimeout(), () -> reject(ErrorKind.REQUEST_TOO_SLOW));
	}

	private void readBody(HttpContent content) {
		int added = content.content().readableBytes();
		if (this.body.readableBytes() + added > this.server.limits().maxBodyBytes()) {
			reject(ErrorKind.BODY_TOO_LARGE);
			return;
		}
		if (added > 0) {
			if (this.body.capacity() == 0) {
				this.body = Unpooled.buffer(Math.max(added, 256));
			}
			this.body.writeBytes(content.content());
		}
		if (content instanceof LastHttpContent) {
			HttpRequest whole = this.head;
			this.head = null;
			stopTimer();
			if (whole != null) {
				this.ahead.add(new CallerRequest(whole, this.body, this.server.clock().nanos()));
			}
			if (this.ahead.size() > MAXIMUM_PIPELINED) {
				close();
				return;
			}
			next();
		}
	}

	// Begins the next request if none is being answered.
	private void next() {
		if (this.answering != null || this.closing) {
			return;
		}
		CallerRequest request = this.ahead.poll();
		if (request == null) {
			awaitRequest();
			return;
		}
		this.answerKeepsOpen = HttpUtil.isKeepAlive(request.head());
		this.answering = ResponseSubscription.BEGUN;
		ResponseSubscription begun = this.server.begin(this, request);
		if (ResponseSubscription.BEGUN.equals(this.answering)) {
			this.answering = begun;
		}
	}

	/**
	 * Writes a whole answer.
	 * @param answer the answer, without the headers that concern this connection only
	 */
	void answer(FullHttpResponse answer) {
		Channel open = this.channel;
		if (open == null || this.answering == null) {
			answer.release();
			return;
		}
		boolean keep = this.answerKeepsOpen && !this.server.stopping();
		HttpUtil.setContentLength(answer, answer.content().readableBytes());
		setConnection(answer, keep);
		finish(open.writeAndFlush(answer), keep);
	}

	/**
	 * Begins a streamed answer.
	 * @param start the status and headers
	 */
	void beginStream(HttpResponse start) {
		this.streaming = true;
		HttpUtil.setTransferEncodingChunked(start, true);
		setConnection(start, this.answerKeepsOpen && !this.server.stopping());
		if (this.channel != null) {
			this.channel.write(start);
		}
	}

	/**
	 * Writes a part of a streamed answer.
	 * @param part the bytes
	 */
	void stream(byte[] part) {
		if (this.channel != null) {
			this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
		}
	}

	/**
	 * Ends a streamed answer that is whole.
	 */
	void endStream() {
		Channel open = this.channel;
		if (open != null) {
			finish(open.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT),
					this.answerKeepsOpen && !this.server.stopping());
		}
	}

	/**
	 * Ends an answer that is not whole, so that the caller can tell.
	 */
	void abort() {
		close();
	}

	boolean streaming() {
		return this.streaming;
	}

	/**
	 * Closes the connection if no request is on it.
	 */
	void closeIfIdle() {
		if (this.answering == null && this.head == null && this.ahead.isEmpty()) {
			close();
		}
	}

	private void finish(ChannelFuture written, boolean keep) {
		this.answering = null;
		this.streaming = false;
		if (!keep) {
			this.closing = true;
			written.addListener(ChannelFutureListener.CLOSE);
			return;
		}
		next();
	}

	private static void setConnection(HttpResponse answer, boolean keep) {
		answer.headers().set(HttpHeaderNames.CONNECTION, keep ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
	}

	private void refuseUnreadable(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			reject(ErrorKind.HEADERS_TOO_LARGE);
		}
		else {
			reject(ErrorKind.MALFORMED_REQUEST);
		}
	}

	// Answers what cannot be read any further, after the answers before it, and closes.
	private void reject(ErrorKind kind) {
		stopTimer();
		this.head = null;
		Channel open = this.channel;
		if (open == null || this.answering != null) {
			close();
			return;
		}
		this.closing = true;
		FullHttpResponse answer = FailureAnswer.of(kind, null);
		HttpUtil.setContentLength(answer, answer.content().readableBytes());
		setConnection(answer, false);
		open.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
		this.server.rejectedUnread(kind);
	}

	private void awaitRequest() {
		startTimer(this.server.limits().idleTimeout(), this::closeIfIdle);
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
	public void channelInactive(ChannelHandlerContext context) {
		stopTimer();
		this.closing = true;
		this.channel = null;
		this.ahead.clear();
		ResponseSubscription current = this.answering;
		this.answering = null;
		this.server.closed(this);
		if (current != null) {
			current.callerLeft();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// The caller reset its connection, or a handler failed; either way it must not go
		// on.
		this.server.connectionFailed(cause);
		context.close();
	}

}
