package org.banyancove.core.entry;

import org.banyancove.core.Body;
import org.jspecify.annotations.Nullable;

/**
 * The request that an attempt sends to an endpoint.
 */
public sealed interface AttemptRequest {

	/**
	 * A plain HTTP call.
	 *
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param contentType the body's content type
	 * @param body the body
	 * @param idempotencyKey the key forwarded to the service, or {@code null}
	 * @param atMostOnce whether the call must not reach the service twice
	 */
	record PlainCall(String method, String path, String contentType, Body body, @Nullable String idempotencyKey,
			boolean atMostOnce) implements AttemptRequest {

	}

	/**
	 * A model request that generates its answer from the first token.
	 *
	 * @param body the chat request
	 * @param priority the priority, 0 the most urgent
	 */
	record Generate(Body body, int priority) implements AttemptRequest {

	}

	/**
	 * The remaining tokens of a stream that the same engine is still running.
	 *
	 * @param fromOffset the offset of the first requested token
	 */
	record Reattach(long fromOffset) implements AttemptRequest {

	}

	/**
	 * The remaining tokens of an answer that another engine started.
	 *
	 * @param body the chat request
	 * @param priority the priority, 0 the most urgent
	 * @param fromOffset the offset of the first requested token
	 * @param text the text of the tokens before it
	 */
	record Continue(Body body, int priority, long fromOffset, String text) implements AttemptRequest {

	}

}
