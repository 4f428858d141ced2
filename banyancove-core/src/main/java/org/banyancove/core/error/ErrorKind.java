package org.banyancove.core.error;

import java.util.Locale;

/**
 * The complete list of error kinds with the answer to each.
 */
public enum ErrorKind {

	/** The request cannot be read: its JSON, path or headers are wrong. */
	MALFORMED_REQUEST(400, CallExecution.NOT_RUN, Repetition.USELESS,
			"The request cannot be read: its JSON, path or headers are wrong"),

	/** The profile requires an idempotency key and the call has none. */
	KEY_REQUIRED(400, CallExecution.NOT_RUN, Repetition.USELESS,
			"The profile asks for an idempotency key and the call has none"),

	/** A published profile or service has a field that is out of its range. */
	PROFILE_INVALID(400, CallExecution.NOT_RUN, Repetition.USELESS,
			"A published profile or service breaks a rule of its fields"),

	/** The credential belongs to no account. */
	ACCOUNT_UNKNOWN(401, CallExecution.NOT_RUN, Repetition.USELESS, "The credential belongs to no account"),

	/** No service of that name is published. */
	SERVICE_UNKNOWN(404, CallExecution.NOT_RUN, Repetition.USELESS, "No service of that name is published"),

	/** No entry holds a request of that identifier. */
	REQUEST_UNKNOWN(404, CallExecution.UNKNOWN, Repetition.USELESS, "No entry holds a request of that identifier"),

	/** The change is based on a revision that is no longer the latest. */
	REVISION_CONFLICT(409, CallExecution.NOT_RUN, Repetition.USELESS,
			"The change was made from a revision that is no longer the newest"),

	/** A call under this key is running; its outcome is not known yet. */
	CALL_IN_PROGRESS(409, CallExecution.UNKNOWN, Repetition.SAME_KEY_AFTER_DELAY,
			"A call under this key is running; its outcome is not known yet"),

	/** The service is retired and accepts no new requests. */
	SERVICE_RETIRED(410, CallExecution.NOT_RUN, Repetition.USELESS, "The service is retired and takes no new work"),

	/** The call ran before; its answer is no longer retained. */
	ANSWER_NOT_KEPT(410, CallExecution.RAN, Repetition.USELESS, "The call ran before; its answer is no longer kept"),

	/** The body is larger than the service allows. */
	BODY_TOO_LARGE(413, CallExecution.NOT_RUN, Repetition.USELESS, "The body is larger than the service allows"),

	/** The caller did not send its request in time. */
	REQUEST_TOO_SLOW(408, CallExecution.NOT_RUN, Repetition.AFTER_DELAY, "The caller did not send its request in time"),

	/** The headers are larger than the limits allow. */
	HEADERS_TOO_LARGE(431, CallExecution.NOT_RUN, Repetition.USELESS, "The headers are larger than the limits allow"),

	/** The key was used before with another body. */
	KEY_BODY_MISMATCH(422, CallExecution.NOT_RUN, Repetition.USELESS, "The key was used before with another body"),

	/** The request crashed two endpoints and is not retried. */
	REQUEST_CRASHES_ENDPOINTS(422, CallExecution.UNKNOWN, Repetition.USELESS,
			"The request crashed two endpoints and is not tried again"),

	/** The account uses more than its share while others wait. */
	ACCOUNT_OVER_LIMIT(429, CallExecution.NOT_RUN, Repetition.AFTER_DELAY,
			"The account uses more than its share while others wait"),

	/** An internal error. */
	INTERNAL(500, CallExecution.UNKNOWN, Repetition.SAME_KEY_AFTER_DELAY, "A fault of the system itself"),

	/** The endpoints failed the request and the retry budget is spent. */
	ENDPOINT_FAILED(502, CallExecution.UNKNOWN, Repetition.AFTER_DELAY,
			"The endpoints failed the request and the retry budget is spent"),

	/** The answer was interrupted and could not be completed. */
	ANSWER_INCOMPLETE(502, CallExecution.UNKNOWN, Repetition.AFTER_DELAY,
			"The answer broke off and could not be completed"),

	/** The endpoints cannot meet the deadline for this request. */
	OVERLOADED(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY,
			"The endpoints cannot meet the deadline for this request"),

	/** No eligible endpoint is available. */
	NO_ENDPOINT(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY, "No endpoint that may take the request is alive"),

	/** The request, or a part of its prompt, crashed several endpoints. */
	REQUEST_QUARANTINED(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY,
			"The request, or a part of its prompt, crashed several endpoints; it is not sent for now"),

	/** It is not known which software version began the stream to resume. */
	STREAM_ORIGIN_UNKNOWN(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY,
			"It is not known which software version began the stream; begin it anew"),

	/**
	 * No endpoint of the software version that began the stream to resume is available.
	 */
	STREAM_VERSION_UNAVAILABLE(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY,
			"No endpoint of the software version that began the stream is available"),

	/** A call that must not be repeated cannot be claimed without the log. */
	LOG_UNREACHABLE(503, CallExecution.NOT_RUN, Repetition.SAME_KEY_AFTER_DELAY,
			"A call that may not be repeated cannot be claimed without the log"),

	/** This entry is stopping and accepts no new requests. */
	STOPPING(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY, "This entry is stopping and takes no new work"),

	/** The call was dispatched and its outcome is not known. */
	OUTCOME_UNKNOWN(504, CallExecution.UNKNOWN, Repetition.SAME_KEY_AFTER_DELAY,
			"The call was dispatched and its outcome is not known"),

	/** A settings file or command line is invalid. */
	SETTINGS_INVALID(500, CallExecution.NOT_RUN, Repetition.USELESS, "A settings file or command line is wrong"),

	/** A listen address is in use. */
	ADDRESS_IN_USE(500, CallExecution.NOT_RUN, Repetition.USELESS, "An address to listen on is taken"),

	/** The platform does not answer. */
	PLATFORM_UNREACHABLE(503, CallExecution.NOT_RUN, Repetition.AFTER_DELAY, "The platform does not answer");

	private final int status;

	private final CallExecution execution;

	private final Repetition repetition;

	private final String meaning;

	ErrorKind(int status, CallExecution execution, Repetition repetition, String meaning) {
		this.status = status;
		this.execution = execution;
		this.repetition = repetition;
		this.meaning = meaning;
	}

	/**
	 * Returns the HTTP status of the answer.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code by which programs recognize the kind.
	 * @return the code, in lower case with underscores
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns whether the call ran, as stated by the answer.
	 * @return whether the call ran
	 */
	public CallExecution execution() {
		return this.execution;
	}

	/**
	 * Returns whether the caller should repeat the request.
	 * @return whether and how to repeat
	 */
	public Repetition repetition() {
		return this.repetition;
	}

	/**
	 * Returns the description for people, one sentence without a full stop.
	 * @return the description
	 */
	public String meaning() {
		return this.meaning;
	}

}
