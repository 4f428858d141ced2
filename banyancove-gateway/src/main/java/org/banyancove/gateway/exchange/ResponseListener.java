package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one call, on the event loop thread.
 */
public interface ResponseListener {

	/**
	 * Returns whether the request may still be sent. Called once a new connection has
	 * been established, to update headers that depend on the time.
	 * @param requestHeaders the headers of the request
	 * @return {@code false} to fail the call with {@link CallFailure#WITHDRAWN}
	 */
	default boolean maySend(HttpHeaders requestHeaders) {
		return true;
	}

	/**
	 * Returns whether a response belongs to the call. One that does not is discarded.
	 * @param head the status and headers
	 * @return what the head shows
	 */
	default ResponseMatch match(HttpResponse head) {
		return ResponseMatch.OWN;
	}

	/**
	 * Called when a response was discarded.
	 * @param head the status and headers
	 */
	default void discarded(HttpResponse head) {
	}

	/**
	 * Receives the status and headers of the response.
	 * @param head the status and headers
	 */
	void head(HttpResponse head);

	/**
	 * Receives a chunk of the body.
	 * @param content the chunk, valid during this method call only
	 */
	void content(ByteBuf content);

	/**
	 * Called when the response is complete.
	 */
	void completed();

	/**
	 * Called when the call has failed and no complete response will follow.
	 * @param failure the cause
	 */
	void failed(CallFailure failure);

}
