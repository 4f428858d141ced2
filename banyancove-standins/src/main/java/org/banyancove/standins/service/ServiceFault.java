package org.banyancove.standins.service;

/**
 * Faults that can be injected into a plain service. A counted switch is set to a number
 * of requests, or to {@code true} for all requests.
 */
public enum ServiceFault {

	/**
	 * Counted: runs the call and never responds.
	 */
	RUN_AND_HANG,

	/**
	 * Counted: runs the call, then closes the connection without a response.
	 */
	RUN_AND_CLOSE,

	/**
	 * Counted: neither runs the call nor responds.
	 */
	HANG,

	/**
	 * Counted: closes the connection after reading the body, without running the call.
	 */
	CLOSE,

	/**
	 * The HTTP status to respond with, without running the call.
	 */
	ERROR_STATUS,

	/**
	 * Additional latency of each call, in milliseconds.
	 */
	SLOW_MILLIS

}
