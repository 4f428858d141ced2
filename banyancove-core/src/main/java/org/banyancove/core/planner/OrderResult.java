package org.banyancove.core.planner;

import java.time.Duration;

/**
 * The result of an order or of reading an engine's state back.
 */
public sealed interface OrderResult {

	/**
	 * The engine's state was read.
	 *
	 * @param state the state
	 */
	record ReadBack(EngineState state) implements OrderResult {

	}

	/**
	 * The engine refused the order because of its old fencing number: another planner
	 * holds the lease.
	 */
	record Fenced() implements OrderResult {

	}

	/**
	 * The rate of the weight store is exceeded.
	 *
	 * @param retryAfter the delay before a retry
	 */
	record StoreBusy(Duration retryAfter) implements OrderResult {

	}

	/**
	 * The order may have been applied. Also the result of an acknowledged order, since
	 * only the state read back is decisive.
	 */
	record Unanswered() implements OrderResult {

	}

}
