package org.banyancove.gateway.exchange;

/**
 * A request that is being answered.
 */
interface ResponseSubscription {

	/** Stands while a request is being begun. */
	ResponseSubscription BEGUN = () -> {
	};

	/** Called when the caller closed its connection, so that the work can be stopped. */
	void callerLeft();

}
