package org.banyancove.core.entry;

import org.banyancove.core.Body;

/**
 * The result of an attempt at an endpoint.
 */
public sealed interface AttemptResult {

	/**
	 * The endpoint sent an HTTP response.
	 *
	 * @param status the HTTP status
	 * @param contentType the body's content type
	 * @param body the body
	 */
	record Answered(int status, String contentType, Body body) implements AttemptResult {

	}

	/**
	 * The stream of an engine is complete.
	 *
	 * @param totalTokens the number of tokens of the complete answer
	 * @param finishReason the reason that the engine reported
	 * @param recomputedTokens the number of tokens that the engine recomputed for this
	 * attempt
	 */
	record StreamEnded(long totalTokens, String finishReason, long recomputedTokens) implements AttemptResult {

	}

	/**
	 * The endpoint rejected the request without processing it.
	 *
	 * @param status the HTTP status
	 * @param detail the error reported by the endpoint
	 */
	record Refused(int status, String detail) implements AttemptResult {

	}

	/**
	 * The request's body was provably never sent.
	 *
	 * @param detail the cause
	 */
	record NeverSent(String detail) implements AttemptResult {

	}

	/**
	 * The connection failed or timed out after the request was sent.
	 *
	 * @param detail the cause
	 */
	record Broken(String detail) implements AttemptResult {

	}

}
