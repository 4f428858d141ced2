package org.banyancove.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.banyancove.core.Body;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request on a connection and reads its response.
 */
final class WholeResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

	private static final int MAXIMUM_INTERIM_RESPONSES = 100;

	private final CompletableFuture<WholeResponse> response = new CompletableFuture<>();

	private final WholeRequest request;

	private final HttpMethod method;

	private final int maximumBytes;

	private final LongSupplier clock;

	private final StrictResponseDecoder decoder;

	private final ByteBuf body = Unpooled.buffer(0);

	private @Nullable Channel channel;

	private @Nullable ChannelFuture requestWrite;

	private long requestWrittenAt;

	private boolean bodySent;

	private boolean answerBegun;

	private @Nullable HttpResponse head;

	private int interimResponses;

	private @Nullable ScheduledFuture<?> timer;

	/**
	 * Creates the handler.
	 * @param request the request
	 * @param maximumBytes the maximum length of the response's body
	 * @param clock the monotonic clock, in ns
	 */
	WholeResponseHandler(WholeRequest request, int maximumBytes, LongSupplier clock) {
		this.request = request;
		this.maximumBytes = maximumBytes;
		this.clock = clock;
		this.method = HttpMethod.valueOf(request.method());
		this.decoder = new StrictResponseDecoder(this::framingViolated, clock);
		this.decoder.expectResponse(this.method);
	}

	StrictResponseDecoder decoder() {
		return this.decoder;
	}

	Future<WholeResponse> response() {
		return this.response;
	}

	void connectFailed(Throwable cause) {
		ConnectException failure = new ConnectException(String.valueOf(cause.getMessage()));
		failure.initCause(cause);
		this.response.completeExceptionally(failure);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.timer = context.executor()
			.schedule(
					() -> fail(new SocketTimeoutException(
							"no response within " + this.request.timeout().toMillis() + " ms")),
					this.request.timeout().toMillis(), TimeUnit.MILLISECONDS);
		if (this.request.awaitsGoAhead()) {
			HttpRequest sentHead = new DefaultHttpRequest(HttpVersion.HTTP_1_1, this.method, this.request.target());
			setHeaders(sentHead.headers());
			sentHead.headers().set(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE);
			write(context, sentHead);
		}
		else {
			DefaultFullHttpRequest sent = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.method,
					this.request.target(), Unpooled.wrappedBuffer(this.request.body().toByteArray()));
			setHeaders(sent.headers());
			this.bodySent = true;
			write(context, sent);
		}
	}

	private void setHeaders(HttpHeaders headers) {
		this.request.headers().forEach(headers::set);
		headers.set(HttpHeaderNames.HOST, this.request.uri().getRawAuthority());
		headers.setInt(HttpHeaderNames.CONTENT_LENGTH, this.request.body().length());
	}

	private void write(ChannelHandlerContext context, Object message) {
		ChannelFuture write = context.writeAndFlush(message);
		write.addListener((written) -> this.requestWrittenAt = this.clock.getAsLong());
		this.requestWrite = write;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.response.isDone()) {
			return;
		}
		if (message.decoderResult().isFailure()) {
			readUndecodable(message);
			return;
		}
		if (message instanceof HttpResponse received) {
			readHead(context, received);
		}
		HttpResponse current = this.head;
		if (message instanceof HttpContent content && current != null) {
			readContent(context, current, content);
		}
	}

	// Trailers follow the whole body, and are not returned.
	private void readUndecodable(HttpObject message) {
		Throwable cause = message.decoderResult().cause();
		HttpResponse current = this.head;
		if (current != null && message instanceof LastHttpContent && cause instanceof TooLongHttpHeaderException) {
			finish(current);
		}
		else {
			this.answerBegun = true;
			fail(new IOException("unreadable response: " + cause.getMessage(), cause));
		}
	}

	private void readHead(ChannelHandlerContext context, HttpResponse received) {
		HttpResponseStatus status = received.status();
		if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			fail(new IOException("unexpected status 101"));
		}
		else if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
			readInterim(context, status);
		}
		else {
			this.head = received;
			this.answerBegun = true;
			stopTimer();
		}
	}

	private void readInterim(ChannelHandlerContext context, HttpResponseStatus status) {
		if (++this.interimResponses > MAXIMUM_INTERIM_RESPONSES) {
			fail(new IOException("too many interim responses"));
		}
		else if (status.equals(HttpResponseStatus.CONTINUE) && !this.bodySent) {
			this.bodySent = true;
			write(context, new DefaultLastHttpContent(Unpooled.wrappedBuffer(this.request.body().toByteArray())));
		}
	}

	private void readContent(ChannelHandlerContext context, HttpResponse current, HttpContent content) {
		if (this.body.readableBytes() + content.content().readableBytes() > this.maximumBytes) {
			fail(new IOException("response body has more than " + this.maximumBytes + " bytes"));
			return;
		}
		this.body.writeBytes(content.content());
		if (content instanceof LastHttpContent) {
			readEnd(context.channel(), current);
		}
	}

	private void readEnd(Channel connection, HttpResponse current) {
		boolean endsWithConnection = !HttpUtil.isContentLengthSet(current)
				&& !HttpUtil.isTransferEncodingChunked(current)
				&& current.status().codeClass() == HttpStatusClass.SUCCESS;
		ChannelFuture write = this.requestWrite;
		if (OrderlyEndHandler.isBroken(connection)) {
			fail(new IOException("connection was reset within the response"));
		}
		else if (endsWithConnection && write != null && OrderlyEndHandler.hasEnded(connection)
				&& EndConfirmation.isNeeded(this.bodySent ? this.request.body().length() : 0, write)) {
			EndConfirmation.start(connection, write, this.requestWrittenAt, this.clock, (complete) -> {
				if (complete) {
					finish(current);
				}
				else {
					fail(new IOException("connection was reset after a response without length"));
				}
			});
		}
		else {
			finish(current);
		}
	}

	private void finish(HttpResponse current) {
		this.decoder.endResponse();
		this.response.complete(new WholeResponse(current.status().code(), current.headers(),
				Body.copyOf(ByteBufUtil.getBytes(this.body))));
		close();
	}

	private void framingViolated(FramingViolation violation) {
		if (violation != FramingViolation.BYTES_AFTER_RESPONSE) {
			this.answerBegun = true;
			fail(new IOException("no sound response: " + violation.name().toLowerCase(Locale.ROOT)));
		}
	}

	// A server that begins to answer, in whatever way, may have run a request without its
	// body.
	private void fail(IOException failure) {
		stopTimer();
		boolean neverRun = this.request.awaitsGoAhead() && !this.bodySent && !this.answerBegun;
		this.response.completeExceptionally(neverRun ? new NoGoAheadException(failure) : failure);
		close();
	}

	private void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail(new IOException(
				(this.head != null) ? "connection ended within the response" : "connection ended without a response"));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail((cause instanceof IOException failure) ? failure : new IOException(cause));
	}

}
