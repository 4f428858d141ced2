package org.banyancove.core.answer;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;

/**
 * The end of an answer.
 */
public sealed interface EndOfAnswer {

	/**
	 * The answer is complete.
	 *
	 * @param finishReason the finish reason reported by the engine
	 */
	record Complete(String finishReason) implements EndOfAnswer {

	}

	/**
	 * The answer was given up and ended with an error.
	 *
	 * @param kind the kind of error
	 * @param retryAfter the retry delay
	 */
	record Failed(ErrorKind kind, Duration retryAfter) implements EndOfAnswer {

	}

}
