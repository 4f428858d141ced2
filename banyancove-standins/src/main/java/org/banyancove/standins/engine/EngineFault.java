package org.banyancove.standins.engine;

/**
 * Faults that can be injected into an engine. A counted switch is set to a number of
 * requests, or to {@code true} for all requests.
 */
public enum EngineFault {

	/**
	 * A word. The engine crashes when it starts to run a prompt that contains it.
	 */
	CRASH_ON_WORD,

	/**
	 * Counted: a stream stalls after {@link #AFTER_TOKENS}, with its connection open.
	 */
	STALL_STREAMS,

	/**
	 * Counted: a stream's connection is closed after {@link #AFTER_TOKENS}.
	 */
	CUT_STREAMS,

	/**
	 * Counted: a stream ends after {@link #AFTER_TOKENS} as a complete HTTP response, but
	 * without its last events.
	 */
	TRUNCATE_STREAMS,

	/**
	 * The number of tokens that a stream sends before it is stalled, cut or truncated.
	 */
	AFTER_TOKENS,

	/**
	 * Counted: a stream sends each piece twice.
	 */
	REPEAT_PIECES,

	/**
	 * Counted: a stream swaps the two pieces of each consecutive pair.
	 */
	REORDER_PIECES,

	/**
	 * Counted: a health check fails with {@code 503}.
	 */
	REFUSE_HEALTH,

	/**
	 * Counted: a chat's connection is closed after its body was read, without running it.
	 */
	CLOSE_AFTER_BODY,

	/**
	 * Counted: a chat is rejected with {@code 503} and a {@code Retry-After} header.
	 */
	REFUSE_CHATS,

	/**
	 * The factor by which generation is slower than configured.
	 */
	SLOW_FACTOR

}
