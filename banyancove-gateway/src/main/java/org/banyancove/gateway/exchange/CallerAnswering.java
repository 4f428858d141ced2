package org.banyancove.gateway.exchange;

/**
 * A request that is being answered.
 */
interface CallerAnswering {

	/** Stands while a request is being begun. */
	CallerAnswering BEGUN = () -> {
	};

	/** Hears that the caller closed its connection, so that the work can be stopped. */
	void callerLeft();

}
