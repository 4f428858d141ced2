package org.banyancove.gateway.exchange;

import org.banyancove.core.ServiceName;
import org.banyancove.core.retry.RetryBudget;

/**
 * The retries of one request, within the retry budget of its service.
 */
final class RequestRetries {

	private final RequestDispatcher dispatcher;

	private final String requestId;

	private final ServiceName service;

	/**
	 * Creates the retries of a request.
	 * @param dispatcher holds the retry budgets
	 * @param requestId the request id
	 * @param service the service of the request
	 */
	RequestRetries(RequestDispatcher dispatcher, String requestId, ServiceName service) {
		this.dispatcher = dispatcher;
		this.requestId = requestId;
		this.service = service;
	}

	/**
	 * Takes a retry from the budget.
	 * @return whether the request may be sent once more
	 */
	boolean tryRetry() {
		RetryBudget budget = budget();
		double available = budget.available();
		boolean granted = budget.tryRetry();
		report(granted, available);
		return granted;
	}

	/**
	 * Returns whether the budget has a retry.
	 * @return whether the request could be sent once more
	 */
	boolean available() {
		double available = budget().available();
		if (available < 1) {
			report(false, available);
			return false;
		}
		return true;
	}

	private RetryBudget budget() {
		return this.dispatcher.retryBudget(this.service);
	}

	private void report(boolean granted, double available) {
		this.dispatcher.requestLog()
			.retryDecided(new RequestLog.RetryDecision(this.requestId, this.service, granted, available,
					budget().retries(), this.dispatcher.gatewayCount(), this.dispatcher.gatewayCountAge()));
	}

}
