package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.rollout.AnswerTimes;
import org.banyancove.gateway.shared.EndpointHeaders;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to an endpoint.
 */
final class Attempt implements ResponseListener {

	/** A non-streaming response is buffered until it is known to be valid. */
	private static final int MAXIMUM_BUFFERED_BYTES = 8 << 20;

	/** Responses of this size are buffered however much memory others take. */
	private static final int SMALL_RESPONSE_BYTES = 64 << 10;

	/** An endpoint that a part crashes ends sooner after it began to answer. */
	private static final Duration PROOF_TIME = Duration.ofMillis(250);

	private final Exchange exchange;

	private final BodyMemory buffers;

	private final Endpoint endpoint;

	private final EndpointEntry entryWhenSent;

	private final double predictedMillis;

	private final int number;

	private final long sentAt;

	private final int prefillTokens;

	private final long tokensAhead;

	private final boolean continuesRun;

	private @Nullable Long pausedAt;

	private Duration pausedTime = Duration.ZERO;

	private boolean prefillCompleted;

	private int eventCount;

	private @Nullable Duration timeToFirstEvent;

	private boolean finished;

	private @Nullable ClientCall call;

	private @Nullable HttpResponse head;

	private @Nullable EndpointHeaders responseHeaders;

	private int reservedBytes;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	Attempt(Exchange exchange, Placement placement, int number, long sentAt, BodyMemory buffers, boolean continuesRun) {
		this.exchange = exchange;
		this.buffers = buffers;
		this.endpoint = placement.endpoint();
		this.entryWhenSent = this.endpoint.entry();
		this.predictedMillis = placement.predictedMillis();
		this.number = number;
		this.sentAt = sentAt;
		this.continuesRun = continuesRun;
		this.tokensAhead = this.endpoint.totalPendingPrefillTokens();
		this.prefillTokens = placement.prefillTokens();
		this.endpoint.requestSent(exchange.prompt(), this.prefillTokens, sentAt);
		this.endpoint.rateLimiter().sent(sentAt);
	}

	void callStarted(ClientCall startedCall) {
		this.call = startedCall;
	}

	int connectionCalls() {
		return (this.call != null) ? this.call.connectionCalls() : 0;
	}

	int discardedResponses() {
		return (this.call != null) ? this.call.discardedResponses() : 0;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Returns the endpoint's software version when the request was sent.
	 * @return the version, empty if unknown
	 */
	String version() {
		return this.entryWhenSent.version();
	}

	HttpResponse responseHead() {
		return Objects.requireNonNull(this.head, "no response has been received");
	}

	EndpointHeaders responseHeaders() {
		return Objects.requireNonNull(this.responseHeaders, "no response has been received");
	}

	long sentAt() {
		return this.sentAt;
	}

	boolean awaitingResponse() {
		return this.head == null;
	}

	boolean begun() {
		return this.eventCount > 0;
	}

	/**
	 * Returns whether the stream may be moved to another endpoint. The end of a stream
	 * without chunks and length could not be told from the stop of its run.
	 * @return whether the endpoint's process is writing the stream and marks its end
	 */
	boolean isMovable() {
		return !this.finished && this.head != null && isCurrentProcess()
				&& (HttpUtil.isTransferEncodingChunked(this.head) || HttpUtil.isContentLengthSet(this.head));
	}

	boolean isCurrentProcess() {
		return this.endpoint.entry().sameIncarnation(this.entryWhenSent);
	}

	/**
	 * Returns when the endpoint began the response, at the earliest.
	 * @return the time of the first event, or when the request was sent
	 */
	long begunAt() {
		return this.sentAt + ((this.timeToFirstEvent != null) ? this.timeToFirstEvent.toNanos() : 0);
	}

	/**
	 * Returns whether the endpoint has been writing the response for long enough to show
	 * that no part of the prompt crashes it.
	 * @return {@code false} if it may have ended because it began to answer
	 */
	boolean proven() {
		Duration first = this.timeToFirstEvent;
		return first != null && elapsed().minus(first).compareTo(PROOF_TIME) >= 0;
	}

	ByteBuf body() {
		return this.body;
	}

	Duration elapsed() {
		return Duration.ofNanos(this.exchange.now() - this.sentAt);
	}

	RequestLog.FailedAttempt describe() {
		return new RequestLog.FailedAttempt(this.exchange.requestId(), this.endpoint.id().value(), version(),
				this.number, this.predictedMillis, elapsed(), null,
				(this.responseHeaders != null) ? this.responseHeaders.retryAfter() : null);
	}

	/**
	 * Cancels the attempt. The reset of its connection tells the endpoint to stop.
	 */
	void cancel() {
		finish();
		releaseBody(takeReservedBytes());
		if (this.call != null) {
			this.call.cancel();
		}
	}

	/** Stops reading the response until {@link #resumeReading()} is called. */
	void pauseReading() {
		if (this.pausedAt == null && this.call != null) {
			this.pausedAt = this.exchange.now();
			this.call.pauseReading();
		}
	}

	/**
	 * Reads the response again.
	 * @return {@code false} if reading was not paused, or the attempt has ended
	 */
	boolean resumeReading() {
		Long since = this.pausedAt;
		if (since == null || this.call == null) {
			return false;
		}
		this.pausedTime = this.pausedTime.plusNanos(this.exchange.now() - since);
		this.pausedAt = null;
		this.call.resumeReading();
		return !this.finished;
	}

	// The first event shows that the prefill is complete.
	void eventReceived() {
		this.eventCount++;
		if (!this.prefillCompleted) {
			completePrefill();
			this.timeToFirstEvent = elapsed();
			// A run that is continued has no prefill to measure.
			if (!this.continuesRun) {
				this.endpoint.latency()
					.recordTimeToFirstToken(this.timeToFirstEvent, this.tokensAhead + this.prefillTokens,
							this.exchange.now());
			}
		}
	}

	AnswerTimes responseTimes() {
		Duration first = this.timeToFirstEvent;
		if (first == null) {
			return new AnswerTimes(millis(elapsed()), 0);
		}
		double expected = this.endpoint.latency().idleFirstTokenMillis(this.tokensAhead + this.prefillTokens);
		double streaming = millis(elapsed().minus(first).minus(this.pausedTime));
		return new AnswerTimes(this.continuesRun ? 1 : millis(first) / expected,
				streaming / Math.max(1, this.eventCount - 1));
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

	private void completePrefill() {
		if (!this.prefillCompleted) {
			this.prefillCompleted = true;
			this.endpoint.prefillCompleted(this.prefillTokens);
		}
	}

	private void finish() {
		if (!this.finished) {
			this.finished = true;
			completePrefill();
			this.endpoint.requestCompleted();
		}
	}

	@Override
	public boolean maySend(HttpHeaders requestHeaders) {
		// Establishing the connection took a part of the time.
		this.exchange.headerCodec().writeRemaining(requestHeaders, this.exchange.remaining());
		// Another process of the endpoint may be another version.
		return this.exchange.maySend(this) && isCurrentProcess();
	}

	@Override
	public ResponseMatch match(HttpResponse response) {
		EndpointHeaders headers = this.exchange.headerCodec().readEndpoint(response.headers());
		if (headers.contradictory()) {
			return ResponseMatch.CONTRADICTORY;
		}
		String stated = headers.requestId();
		if (stated == null) {
			return headers.sealed() ? ResponseMatch.UNIDENTIFIED : ResponseMatch.UNREADABLE;
		}
		return stated.equals(this.exchange.requestId()) ? ResponseMatch.OWN : ResponseMatch.OTHER;
	}

	@Override
	public void discarded(HttpResponse response) {
		EndpointHeaders headers = this.exchange.headerCodec().readEndpoint(response.headers());
		this.exchange.responseDiscarded(this, headers.requestId(), response.status().code());
	}

	@Override
	public void head(HttpResponse response) {
		EndpointHeaders headers = this.exchange.headerCodec().readEndpoint(response.headers());
		this.head = response;
		this.responseHeaders = headers;
		boolean currentProcess = !response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)
				&& isCurrentProcess();
		if (currentProcess) {
			this.endpoint.processLife().answered(connectedAt(), this.sentAt);
			this.exchange.announcements()
				.applyProcessState(this.endpoint, response.status(), headers, this.exchange.now());
		}
		this.exchange.announcements().applyLimits(this.endpoint, headers, currentProcess, this.exchange.now());
	}

	private long connectedAt() {
		return (this.call != null) ? this.call.connectedAt() : this.sentAt;
	}

	@Override
	public void content(ByteBuf content) {
		if (this.exchange.isStreaming(this)) {
			this.exchange.forwardEvents(this, content);
			return;
		}
		if (!reserveBuffer(this.body.readableBytes() + content.readableBytes())) {
			cancel();
			this.exchange.failed(this, CallFailure.UNREADABLE);
			return;
		}
		if (this.body.capacity() == 0) {
			this.body = Unpooled.buffer(Math.max(content.readableBytes(), 256));
		}
		this.body.writeBytes(content);
	}

	private boolean reserveBuffer(int bytes) {
		int added = bytes - SMALL_RESPONSE_BYTES - this.reservedBytes;
		if (added <= 0) {
			return true;
		}
		int rounded = Math.max(added, SMALL_RESPONSE_BYTES);
		if (bytes > MAXIMUM_BUFFERED_BYTES || !this.buffers.tryReserve(rounded)) {
			return false;
		}
		this.reservedBytes += rounded;
		return true;
	}

	/**
	 * Returns the reserved memory of the body, which the caller of this method releases
	 * from now on.
	 * @return the number of bytes
	 */
	int takeReservedBytes() {
		int taken = this.reservedBytes;
		this.reservedBytes = 0;
		return taken;
	}

	/**
	 * Releases reserved memory.
	 * @param bytes the number of bytes
	 */
	void releaseBody(int bytes) {
		this.buffers.release(bytes);
	}

	@Override
	public void completed() {
		finish();
		this.exchange.completed(this);
		releaseBody(takeReservedBytes());
	}

	@Override
	public void failed(CallFailure failure) {
		finish();
		releaseBody(takeReservedBytes());
		this.exchange.failed(this, failure);
	}

}
