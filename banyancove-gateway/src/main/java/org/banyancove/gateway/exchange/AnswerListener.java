package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears of the answer to one call, on the event loop's thread.
 */
public interface AnswerListener {

	/**
	 * Hears of the status and headers of an answer.
	 * @param head the status and headers
	 * @return whether the answer belongs to the call; one that does not is passed over
	 */
	boolean head(HttpResponse head);

	/**
	 * Hears of a part of the body.
	 * @param content the part, valid during this call only
	 */
	void content(ByteBuf content);

	/**
	 * Hears that the answer is whole.
	 */
	void completed();

	/**
	 * Hears that there will be no whole answer.
	 * @param failure why
	 */
	void failed(CallFailure failure);

}
