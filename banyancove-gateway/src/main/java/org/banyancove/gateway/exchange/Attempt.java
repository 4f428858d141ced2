package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.rollout.AnswerTimes;
import org.banyancove.gateway.shared.EndpointHeaders;
import org.jspecify.annotations.Nullable;

/**
 * One request at one endpoint.
 */
final class Attempt implements AnswerListener {

	/** An answer that is no stream is kept whole until it is known to be sound. */
	private static final int MAXIMUM_BUFFERED_BYTES = 16 << 20;

	private final Exchange exchange;

	private final Endpoint endpoint;

	private final double predictedMillis;

	private final int number;

	private final long sentAt;

	private final int prefillTokens;

	private final long tokensAhead;

	private boolean promptRead;

	private int events;

	private @Nullable Duration firstEventAfter;

	private boolean left;

	private @Nullable ClientCall call;

	private @Nullable HttpResponse head;

	private @Nullable EndpointHeaders responseHeaders;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	Attempt(Exchange exchange, Placement placement, int number, long sentAt) {
		this.exchange = exchange;
		this.endpoint = placement.endpoint();
		this.predictedMillis = placement.predictedMillis();
		this.number = number;
		this.sentAt = sentAt;
		this.tokensAhead = this.endpoint.queuedTokens();
		this.prefillTokens = placement.prefillTokens();
		this.endpoint.sent(exchange.prompt(), this.prefillTokens);
		this.endpoint.rateLimiter().sent(sentAt);
	}

	void started(ClientCall started) {
		this.call = started;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	HttpResponse answerHead() {
		return Objects.requireNonNull(this.head, "no answer has begun");
	}

	EndpointHeaders responseHeaders() {
		return Objects.requireNonNull(this.responseHeaders, "no answer has begun");
	}

	boolean unanswered() {
		return this.head == null;
	}

	ByteBuf body() {
		return this.body;
	}

	Duration elapsed() {
		return Duration.ofNanos(this.exchange.now() - this.sentAt);
	}

	RequestLog.AttemptFacts facts() {
		return new RequestLog.AttemptFacts(this.exchange.requestId(), this.endpoint.id().value(), this.number,
				this.predictedMillis, elapsed());
	}

	/** Gives the attempt up, by which the endpoint learns to stop. */
	void cancel() {
		leave();
		if (this.call != null) {
			this.call.cancel();
		}
	}

	// The first event shows that the prompt was read.
	void event() {
		this.events++;
		if (!this.promptRead) {
			readPrompt();
			this.firstEventAfter = elapsed();
			this.endpoint.firstToken(this.firstEventAfter, this.tokensAhead + this.prefillTokens, this.exchange.now());
		}
	}

	AnswerTimes times() {
		Duration first = this.firstEventAfter;
		if (first == null) {
			return new AnswerTimes(millis(elapsed()), 0);
		}
		double expected = this.endpoint.idleFirstTokenMillis(this.tokensAhead + this.prefillTokens);
		double streaming = millis(elapsed().minus(first));
		return new AnswerTimes(millis(first) / expected, streaming / Math.max(1, this.events - 1));
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

	private void readPrompt() {
		if (!this.promptRead) {
			this.promptRead = true;
			this.endpoint.promptRead(this.prefillTokens);
		}
	}

	private void leave() {
		if (!this.left) {
			this.left = true;
			readPrompt();
			this.endpoint.left();
		}
	}

	@Override
	public boolean mayBegin() {
		return this.exchange.maySend(this.endpoint);
	}

	@Override
	public boolean head(HttpResponse answer) {
		EndpointHeaders headers = this.exchange.headerCodec().readEndpoint(answer.headers());
		if (headers.requestId() != null && !headers.requestId().equals(this.exchange.requestId())) {
			return false;
		}
		this.head = answer;
		this.responseHeaders = headers;
		if (headers.load() != null) {
			this.endpoint.reported(headers.load(), this.exchange.now());
		}
		// Bytes that are no answer of the endpoint don't tell that a limit has ended.
		if (headers.sealed() || headers.notRun()) {
			this.exchange.rateLimited(this.endpoint, headers.rateLimit());
		}
		return true;
	}

	@Override
	public void content(ByteBuf content) {
		if (this.exchange.streams(this)) {
			this.exchange.streamed(this, content);
			return;
		}
		if (this.body.readableBytes() + content.readableBytes() > MAXIMUM_BUFFERED_BYTES) {
			cancel();
			this.exchange.failed(this, CallFailure.UNREADABLE);
			return;
		}
		if (this.body.capacity() == 0) {
			this.body = Unpooled.buffer(Math.max(content.readableBytes(), 256));
		}
		this.body.writeBytes(content);
	}

	@Override
	public void completed() {
		leave();
		this.exchange.completed(this);
	}

	@Override
	public void failed(CallFailure failure) {
		leave();
		this.exchange.failed(this, failure);
	}

}
