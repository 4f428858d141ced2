package org.banyancove.core.ledger;

/**
 * The result of dispatching a claimed call.
 */
public sealed interface DispatchResult {

	/**
	 * The endpoint answered.
	 *
	 * @param answer the answer
	 */
	record Completed(StoredAnswer answer) implements DispatchResult {

	}

	/**
	 * The endpoint has certainly not received the call's body. If this is uncertain, the
	 * result is {@link OutcomeUnknown}.
	 */
	record NeverSent() implements DispatchResult {

	}

	/**
	 * The endpoint may have run the call.
	 */
	record OutcomeUnknown() implements DispatchResult {

	}

}
