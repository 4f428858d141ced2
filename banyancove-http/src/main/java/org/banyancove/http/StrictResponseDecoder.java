package org.banyancove.http;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses of a connection with one request at a time, up to the first bytes
 * that are no part of the expected response. Those and all later ones are discarded.
 * <p>
 * The general decoder keeps an unfinished head, whenever it was received, and lets the
 * next response complete it. Bytes that arrive before a response can't be told from its
 * own by the time at which they arrive, since a server may respond before it has read the
 * request. A head therefore counts as that of one response if its only status line begins
 * at its first byte: a head that consists of two has the second status line somewhere
 * after that. Each of its other lines must be a header: one that stray bytes have cut in
 * two would count as absent, such as the length, or as shorter.
 * <p>
 * A body of stated length that ends early is filled up by the next bytes on the
 * connection. A body may quote a status line, but a quotation hardly ever begins what is
 * received after a pause, as a late response does.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {

	private static final HttpDecoderConfig CONFIGURATION = new HttpDecoderConfig().setMaxInitialLineLength(8 * 1024)
		.setMaxHeaderSize(64 * 1024)
		.setMaxChunkSize(64 * 1024);

	/** Segments of one write are received within less. */
	private static final Duration PAUSE = Duration.ofMillis(1);

	/** The length of {@code HTTP/}. */
	private static final int MINIMUM_BEGINNING = 5;

	private final Consumer<FramingViolation> onViolation;

	private final LongSupplier clock;

	/** Scans each response from its first byte to its last. */
	private final StatusLineScanner scanner = new StatusLineScanner();

	private final HeaderLineScanner headerLines = new HeaderLineScanner();

	/** Scans the part of a body that was received after its latest pause. */
	private final StatusLineScanner resumedBody = new StatusLineScanner();

	private boolean bodyPaused;

	private long receivedAt;

	private Section section = Section.HEAD;

	private boolean bodyHadStatusLine;

	private boolean expectingResponse;

	private boolean expectingNoBody;

	private boolean violated;

	/**
	 * Creates the decoder.
	 * @param onViolation receives the first violation
	 * @param clock the monotonic clock, in ns
	 */
	public StrictResponseDecoder(Consumer<FramingViolation> onViolation, LongSupplier clock) {
		super(CONFIGURATION);
		this.onViolation = onViolation;
		this.clock = clock;
	}

	/**
	 * Expects the response to a request.
	 * @param method the method of the request
	 */
	public void expectResponse(HttpMethod method) {
		this.expectingResponse = true;
		this.expectingNoBody = method.equals(HttpMethod.HEAD);
	}

	/**
	 * Expects no further bytes, since the response is complete. If bytes follow one that
	 * has a status line in its body, it may have ended early and have been filled up by
	 * another response, which is reported.
	 * @return whether no bytes follow the response
	 */
	public boolean endResponse() {
		this.expectingResponse = false;
		if (actualReadableBytes() == 0) {
			return true;
		}
		report(this.bodyHadStatusLine ? FramingViolation.STATUS_LINE_IN_BODY : FramingViolation.BYTES_AFTER_RESPONSE);
		return false;
	}

	/**
	 * Discards the response whose head was decoded last, and expects another one. A
	 * response that belongs to no request may also end early: the expected one would be
	 * read as the rest of its body.
	 */
	public void discardResponse() {
		if (this.section != Section.HEAD) {
			this.section = Section.UNRELIABLE_BODY;
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (!this.expectingResponse && message instanceof ByteBuf bytes && bytes.isReadable()) {
			report(FramingViolation.UNEXPECTED_BYTES);
		}
		recordPause();
		if (this.violated) {
			ReferenceCountUtil.release(message);
		}
		else {
			super.channelRead(context, message);
		}
	}

	private void recordPause() {
		long now = this.clock.getAsLong();
		if (this.section != Section.HEAD && now - this.receivedAt >= PAUSE.toNanos()
				&& !(this.bodyPaused && this.resumedBody.isBeginning(1))) {
			this.bodyPaused = true;
			this.resumedBody.reset();
		}
		this.receivedAt = now;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
		if (this.section == Section.HEAD && !this.scanner.mayBeginWithStatusLine(bytes)) {
			report(FramingViolation.NO_STATUS_LINE);
		}
		if (!this.violated) {
			int start = bytes.readerIndex();
			super.decode(context, bytes, messages);
			scan(bytes, start);
			if (messages.stream().anyMatch(LastHttpContent.class::isInstance)) {
				endBody(bytes);
			}
			messages.forEach(this::checkHead);
			messages.forEach(this::enterSection);
		}
		if (this.violated) {
			messages.forEach(ReferenceCountUtil::release);
			messages.clear();
			bytes.skipBytes(bytes.readableBytes());
		}
	}

	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
		super.decodeLast(context, bytes, messages);
		if (this.section == Section.UNRELIABLE_BODY && this.scanner.endsWithBeginning(MINIMUM_BEGINNING)) {
			report(FramingViolation.STATUS_LINE_IN_BODY);
			messages.forEach(ReferenceCountUtil::release);
			messages.clear();
		}
	}

	private void scan(ByteBuf bytes, int start) {
		this.scanner.scan(bytes, start, bytes.readerIndex());
		if (this.section == Section.HEAD) {
			this.headerLines.scan(bytes, start, bytes.readerIndex());
		}
		if (this.scanner.foundAfterStart()) {
			switch (this.section) {
				case HEAD -> report(FramingViolation.SECOND_STATUS_LINE);
				case UNRELIABLE_BODY -> report(FramingViolation.STATUS_LINE_IN_BODY);
				case BODY -> this.bodyHadStatusLine = true;
			}
		}
		if (this.headerLines.foundOther()) {
			report(FramingViolation.NO_HEADER);
		}
		if (this.section != Section.HEAD) {
			scanBody(bytes, start);
		}
	}

	private void scanBody(ByteBuf bytes, int start) {
		if (this.bodyPaused) {
			this.resumedBody.scan(bytes, start, bytes.readerIndex());
			if (this.resumedBody.foundAtStart()) {
				report(FramingViolation.STATUS_LINE_IN_BODY);
			}
		}
	}

	// The rest of a body may be too short for the whole status line of another response.
	private void endBody(ByteBuf following) {
		if (this.section == Section.BODY) {
			this.bodyHadStatusLine |= this.scanner.extendsOver(following);
		}
		if (this.bodyPaused && this.resumedBody.isBeginning(MINIMUM_BEGINNING)) {
			report(FramingViolation.STATUS_LINE_IN_BODY);
		}
	}

	private void checkHead(Object message) {
		FramingViolation violation = (message instanceof HttpResponse head && head.decoderResult().isSuccess())
				? ResponseHeadRule.violation(head, !isContentAlwaysEmpty(head)) : null;
		if (violation != null) {
			report(violation);
		}
	}

	private void enterSection(Object message) {
		if (message instanceof HttpResponse head) {
			boolean delimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
			this.section = delimited ? Section.BODY : Section.UNRELIABLE_BODY;
			this.bodyHadStatusLine = false;
			this.bodyPaused = false;
		}
		if (message instanceof LastHttpContent) {
			this.section = Section.HEAD;
			this.scanner.reset();
			this.headerLines.reset();
		}
	}

	private void report(FramingViolation violation) {
		if (!this.violated) {
			this.violated = true;
			this.onViolation.accept(violation);
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean informational = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (!informational && this.expectingNoBody) || super.isContentAlwaysEmpty(message);
	}

	/**
	 * The section of a response that is decoded.
	 */
	private enum Section {

		HEAD, BODY,

		/** A body that ends with its connection, or that of a discarded response. */
		UNRELIABLE_BODY

	}

}
