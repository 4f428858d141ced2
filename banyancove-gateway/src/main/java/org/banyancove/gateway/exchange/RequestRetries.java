package org.banyancove.gateway.exchange;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.retry.RetryBudgets;
import org.banyancove.gateway.retry.ServiceRetryBudget;

/**
 * The attempts of one request, within its route's maximum and the retry budget of its
 * service.
 * <p>
 * A retry that was granted is held until an attempt sends it: an attempt whose connection
 * fails does not cost another one, and a request that ends without sending it gives it
 * back.
 */
final class RequestRetries {

	private final RequestDispatcher dispatcher;

	private final String requestId;

	private final ServiceName service;

	private final int maximumAttempts;

	private int attempts;

	private boolean retryHeld;

	/**
	 * Creates the retries of a request without an attempt.
	 * @param dispatcher holds the retry budgets
	 * @param requestId the request id
	 * @param service the service of the request
	 * @param route the route of the request
	 */
	RequestRetries(RequestDispatcher dispatcher, String requestId, ServiceName service, Route route) {
		this.dispatcher = dispatcher;
		this.requestId = requestId;
		this.service = service;
		this.maximumAttempts = route.maxAttempts();
	}

	/**
	 * Returns the number of attempts that may have reached an endpoint.
	 * @return the number, including one that is in progress
	 */
	int attempts() {
		return this.attempts;
	}

	/**
	 * Returns whether the route allows another attempt.
	 * @return whether fewer than its maximum were made
	 */
	boolean hasAttemptsLeft() {
		return this.attempts < this.maximumAttempts;
	}

	/**
	 * Takes a retry from the budget, unless one is held.
	 * @return whether the request may be sent once more
	 */
	boolean tryAcquire() {
		if (!this.retryHeld) {
			int available = budget().available(now());
			this.retryHeld = budgets().tryAcquire(this.service, now());
			report(available);
		}
		return this.retryHeld;
	}

	/** Records that an attempt begins, which uses the retry that is held. */
	void attemptStarted() {
		this.attempts++;
		this.retryHeld = false;
	}

	/** Records that the latest attempt sent nothing. */
	void attemptNotSent() {
		this.attempts--;
		this.retryHeld = this.attempts > 0;
	}

	/** Gives back a retry that is held at the end of the request. */
	void end() {
		if (this.retryHeld) {
			this.retryHeld = false;
			budgets().release(this.service, now());
		}
	}

	private RetryBudgets budgets() {
		return this.dispatcher.retryBudgets();
	}

	private ServiceRetryBudget budget() {
		return budgets().budget(this.service, now());
	}

	private long now() {
		return this.dispatcher.clock().nanos();
	}

	private void report(int available) {
		this.dispatcher.requestLog()
			.retryDecided(new RequestLog.RetryDecision(this.requestId, this.service, this.retryHeld, available,
					budget().granted(), budgets().listedGateways(), budgets().listAge(now())));
	}

}
