package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to one call, on the event loop's thread.
 */
public interface AnswerListener {

	/**
	 * Returns whether the call may still be made, now that its connection stands.
	 * @return whether it may
	 */
	default boolean mayBegin() {
		return true;
	}

	/**
	 * Receives the status and headers of an answer.
	 * @param head the status and headers
	 * @return whether the answer belongs to the call; one that does not is passed over
	 */
	boolean head(HttpResponse head);

	/**
	 * Receives a part of the body.
	 * @param content the part, valid during this call only
	 */
	void content(ByteBuf content);

	/**
	 * Called when the answer is complete.
	 */
	void completed();

	/**
	 * Called when there will be no complete answer.
	 * @param failure why
	 */
	void failed(CallFailure failure);

}
