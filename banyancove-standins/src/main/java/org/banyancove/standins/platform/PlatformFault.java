package org.banyancove.standins.platform;

/**
 * Faults that can be injected into the platform. A counted switch is set to a number of
 * requests, or to {@code true} for all requests.
 */
public enum PlatformFault {

	/**
	 * Counted: rejects requests to the log with {@code 503}, without effect.
	 */
	LOG_OUTAGE,

	/**
	 * Counted: rejects requests to the rest of the platform with {@code 503}, without
	 * effect.
	 */
	PLATFORM_OUTAGE,

	/**
	 * Additional latency of each request to the log, in milliseconds.
	 */
	LOG_SLOW_MILLIS,

	/**
	 * Counted: applies the append, then closes the connection without a response.
	 */
	LOSE_APPEND_ANSWERS,

	/**
	 * Counted: applies the append and never responds.
	 */
	HANG_APPEND_ANSWERS,

	/**
	 * Counted: responds with {@code 503} at once but still applies the append, after
	 * {@link #LATE_APPEND_MILLIS}.
	 */
	LATE_APPENDS,

	/**
	 * Delay of an append affected by {@link #LATE_APPENDS}, in milliseconds.
	 */
	LATE_APPEND_MILLIS,

	/**
	 * Comma-separated names of zones in which no VM can be started; {@code all} for all
	 * zones.
	 */
	REFUSE_STARTS_IN,

	/**
	 * Comma-separated names of listeners that do not respond, which partitions their
	 * clients from the platform.
	 */
	SILENT_LISTENERS,

	/**
	 * Counted: starts or stops the VM, then closes the connection without a response.
	 */
	LOSE_CLOUD_ANSWERS

}
