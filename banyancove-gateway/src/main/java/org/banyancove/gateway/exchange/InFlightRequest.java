package org.banyancove.gateway.exchange;

/**
 * A request in progress.
 */
interface InFlightRequest {

	/** A placeholder while a request is being started, or if it was rejected at once. */
	InFlightRequest NO_OP = () -> {
	};

	/** Called when the caller has closed its connection, to stop the work. */
	void callerDisconnected();

	/** Called when the caller has read enough of its response for more to be written. */
	default void callerWritable() {
	}

}
