package org.banyancove.core.entry;

import java.time.Duration;

import org.banyancove.core.Body;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.error.Repetition;
import org.jspecify.annotations.Nullable;

/**
 * A part of an answer that is delivered to a caller.
 */
public sealed interface AnswerPart {

	/**
	 * Returns whether this is the final part of the answer.
	 * @return whether no further part follows
	 */
	default boolean isFinal() {
		return true;
	}

	/**
	 * The request is accepted: it completes, or its caller receives an error.
	 */
	record Accepted() implements AnswerPart {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

	/**
	 * The answer restarts at its first token, and the caller must discard the tokens that
	 * it has received. Sent to a caller that reconnected at an offset that is not a
	 * boundary of the retained pieces.
	 */
	record Restarted() implements AnswerPart {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

	/**
	 * Tokens of a model's answer.
	 *
	 * @param fromOffset the offset of the first token
	 * @param toOffset the offset after the last token
	 * @param text the tokens' text
	 */
	record Text(long fromOffset, long toOffset, String text) implements AnswerPart {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

	/**
	 * The end of a complete model answer.
	 *
	 * @param tokens the number of tokens of the answer
	 * @param promptTokens the number of tokens of the prompt
	 * @param finishReason the reason that the engine reported
	 */
	record EndOfText(long tokens, int promptTokens, String finishReason) implements AnswerPart {

	}

	/**
	 * The complete answer of a plain service.
	 *
	 * @param status the HTTP status
	 * @param contentType the body's content type
	 * @param body the body
	 * @param repeated whether this is the stored answer of an earlier run under the same
	 * key
	 */
	record PlainResponse(int status, String contentType, Body body, boolean repeated) implements AnswerPart {

	}

	/**
	 * A final error.
	 *
	 * @param kind the kind of error
	 * @param detail the error text for human readers
	 * @param execution whether the call ran, which may be known more precisely than by
	 * the kind
	 * @param retryAfter the delay before a retry, or {@code null} if a retry is useless
	 */
	record Failure(ErrorKind kind, String detail, CallExecution execution,
			@Nullable Duration retryAfter) implements AnswerPart {

		/**
		 * Creates a failure. The retry delay is dropped if a retry of this kind of error
		 * is useless, since clients and proxies retry automatically when one is given.
		 * @param kind the kind of error
		 * @param detail the error text for human readers
		 * @param execution whether the call ran, which may be known more precisely than
		 * by the kind
		 * @param retryAfter the delay before a retry, or {@code null} if a retry is
		 * useless
		 */
		public Failure {
			retryAfter = (kind.repetition() != Repetition.USELESS) ? retryAfter : null;
		}

		/**
		 * Creates a failure whose kind determines whether the call ran.
		 * @param kind the kind of error
		 * @param detail the error text for human readers
		 * @param retryAfter the delay before a retry, or {@code null} if a retry is
		 * useless
		 */
		public Failure(ErrorKind kind, String detail, @Nullable Duration retryAfter) {
			this(kind, detail, kind.execution(), retryAfter);
		}

	}

}
