package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * A call in progress, which can be cancelled.
 */
public final class ClientCall {

	private final FullHttpRequest request;

	private final int requestBytes;

	private final @Nullable String requestId;

	private final ResponseListener listener;

	private @Nullable ClientConnection connection;

	private int connectionCalls;

	private int discardedResponses;

	private boolean ended;

	ClientCall(FullHttpRequest request, @Nullable String requestId, ResponseListener listener) {
		this.request = request;
		this.requestBytes = request.content().readableBytes();
		this.requestId = requestId;
		this.listener = listener;
	}

	/**
	 * Cancels the call. Resets its connection, which tells the endpoint to stop; the
	 * listener is not called again.
	 */
	public void cancel() {
		if (this.ended) {
			return;
		}
		end();
		if (this.connection != null) {
			this.connection.reset();
		}
	}

	/**
	 * Stops reading the response, so that the server can't send more than is buffered.
	 */
	void pauseReading() {
		if (!this.ended && this.connection != null) {
			this.connection.setReading(false);
		}
	}

	/** Reads the response again. */
	void resumeReading() {
		if (!this.ended && this.connection != null) {
			this.connection.setReading(true);
		}
	}

	/**
	 * Returns when the connection was established that the request was sent on.
	 * @return the monotonic time in ns
	 * @throws IllegalStateException if the request was not sent
	 */
	long connectedAt() {
		if (this.connection == null) {
			throw new IllegalStateException("the request was not sent");
		}
		return this.connection.connectedAt();
	}

	/**
	 * Returns the number of calls that were sent on the connection up to this one.
	 * @return the number, 0 if the request was not sent
	 */
	int connectionCalls() {
		return this.connectionCalls;
	}

	/**
	 * Returns the number of responses to other requests that preceded the call's own.
	 * @return the number
	 */
	int discardedResponses() {
		return this.discardedResponses;
	}

	HttpMethod method() {
		return this.request.method();
	}

	/**
	 * Returns the length of the request's body.
	 * @return the length in bytes
	 */
	int requestBytes() {
		return this.requestBytes;
	}

	@Nullable String requestId() {
		return this.requestId;
	}

	boolean ended() {
		return this.ended;
	}

	boolean maySend() {
		return this.listener.maySend(this.request.headers());
	}

	FullHttpRequest assignTo(ClientConnection assigned, int calls) {
		this.connection = assigned;
		this.connectionCalls = calls;
		return this.request.retain();
	}

	ResponseMatch match(HttpResponse head) {
		return this.ended ? ResponseMatch.OWN : this.listener.match(head);
	}

	void discarded(HttpResponse head) {
		this.discardedResponses++;
		this.listener.discarded(head);
	}

	void head(HttpResponse head) {
		if (!this.ended) {
			this.listener.head(head);
		}
	}

	void content(ByteBuf content) {
		if (!this.ended) {
			this.listener.content(content);
		}
	}

	void completed() {
		if (!this.ended) {
			end();
			this.listener.completed();
		}
	}

	void failed(CallFailure failure) {
		if (!this.ended) {
			end();
			this.listener.failed(failure);
		}
	}

	private void end() {
		this.ended = true;
		this.request.release();
	}

}
