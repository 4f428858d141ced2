package org.banyancove.gateway.exchange;

import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the responses of a connection with one request at a time, up to the first bytes
 * that are no part of the expected response. Those and all later ones are discarded.
 * <p>
 * The general decoder keeps an unfinished head, whenever it was received, and lets the
 * next response complete it. Bytes that arrive before a response can't be told from its
 * own by the time at which they arrive, since a server may respond before it has read the
 * request. A head therefore counts as that of one response if its only status line begins
 * at its first byte: a head that consists of two has the second status line somewhere
 * after that.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private static final HttpDecoderConfig CONFIGURATION = new HttpDecoderConfig().setMaxInitialLineLength(8 * 1024)
		.setMaxHeaderSize(64 * 1024)
		.setMaxChunkSize(64 * 1024);

	private final Consumer<FramingViolation> onViolation;

	private final StatusLineScanner scanner = new StatusLineScanner();

	private boolean readingHead = true;

	private boolean discarding;

	private boolean violated;

	/** The method of the request whose response is expected. */
	private @Nullable HttpMethod method;

	/**
	 * Creates the decoder.
	 * @param onViolation receives the violations
	 */
	StrictResponseDecoder(Consumer<FramingViolation> onViolation) {
		super(CONFIGURATION);
		this.onViolation = onViolation;
	}

	/**
	 * Expects the response to a request.
	 * @param requestMethod the method of the request
	 */
	void expectResponse(HttpMethod requestMethod) {
		this.method = requestMethod;
	}

	/**
	 * Expects no further bytes, since the response is complete.
	 * @return whether no bytes follow the response
	 */
	boolean endResponse() {
		this.method = null;
		if (actualReadableBytes() == 0) {
			return true;
		}
		violated(FramingViolation.BYTES_AFTER_RESPONSE);
		return false;
	}

	/**
	 * Discards the response whose head was decoded last, and expects another one. A
	 * response that belongs to no request may also end early: the expected one would be
	 * read as the rest of its body.
	 */
	void discardResponse() {
		this.discarding = true;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.method == null && message instanceof ByteBuf bytes && bytes.isReadable()) {
			violated(FramingViolation.UNEXPECTED_BYTES);
		}
		if (this.violated) {
			ReferenceCountUtil.release(message);
		}
		else {
			super.channelRead(context, message);
		}
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
		if (this.readingHead && !this.scanner.mayBeginWithStatusLine(bytes)) {
			violated(FramingViolation.NO_STATUS_LINE);
		}
		if (!this.violated) {
			decodeResponse(context, bytes, messages);
		}
		if (this.violated) {
			messages.forEach(ReferenceCountUtil::release);
			messages.clear();
			bytes.skipBytes(bytes.readableBytes());
		}
	}

	private void decodeResponse(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
		int start = bytes.readerIndex();
		super.decode(context, bytes, messages);
		if (this.readingHead || this.discarding) {
			scan(bytes, start);
		}
		for (Object message : messages) {
			if (message instanceof LastHttpContent) {
				this.readingHead = true;
				this.discarding = false;
				this.scanner.reset();
			}
			else if (message instanceof HttpResponse) {
				this.readingHead = false;
			}
		}
	}

	private void scan(ByteBuf bytes, int start) {
		this.scanner.scan(bytes, start, bytes.readerIndex());
		if (this.scanner.foundAfterStart()) {
			violated(this.discarding ? FramingViolation.STATUS_LINE_IN_DISCARDED_BODY
					: FramingViolation.SECOND_STATUS_LINE);
		}
	}

	private void violated(FramingViolation violation) {
		if (!this.violated) {
			this.violated = true;
			this.onViolation.accept(violation);
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean informational = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (!informational && HttpMethod.HEAD.equals(this.method)) || super.isContentAlwaysEmpty(message);
	}

}
