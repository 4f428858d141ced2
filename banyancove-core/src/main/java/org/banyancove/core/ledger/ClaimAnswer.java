package org.banyancove.core.ledger;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;

/**
 * The final answer to a {@link ClaimRequest}.
 */
public sealed interface ClaimAnswer {

	/**
	 * This request ran the call.
	 *
	 * @param answer the endpoint's complete answer
	 */
	record FirstRun(StoredAnswer answer) implements ClaimAnswer {

	}

	/**
	 * The call already ran for another request with the same key and body.
	 *
	 * @param answer the answer of the first run, as stored in the ledger
	 */
	record Repeated(StoredAnswer answer) implements ClaimAnswer {

	}

	/**
	 * The request is refused.
	 *
	 * @param kind the kind of error, which indicates whether the call ran
	 * @param retryAfter the retry delay
	 */
	record Refused(ErrorKind kind, Duration retryAfter) implements ClaimAnswer {

	}

}
