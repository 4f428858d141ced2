package org.banyancove.gateway.waiting;

/**
 * The reason why a request is not left waiting.
 */
public enum RejectionReason {

	/** The queues of the gateway are full. */
	QUEUE_FULL,

	/** The request is predicted to start after its latest start. */
	PREDICTED_LATE,

	/** The latest start has passed. */
	EXPIRED,

	/** The gateway is shutting down. */
	SHUTDOWN

}
