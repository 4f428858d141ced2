package org.banyancove.gateway.waiting;

import java.time.Duration;

/**
 * The result of an offer to a {@link WaitingQueue}.
 */
public sealed interface OfferResult {

	/**
	 * The request waits.
	 *
	 * @param expectedWait the time until the work ahead of it is started, zero if the
	 * drain rate is unknown
	 */
	record Queued(Duration expectedWait) implements OfferResult {
	}

	/**
	 * The request is rejected and has not been queued.
	 *
	 * @param reason the reason
	 * @param retryAfter the time after which the caller may retry
	 */
	record Rejected(RejectionReason reason, Duration retryAfter) implements OfferResult {
	}

}
