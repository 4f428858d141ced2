package org.banyancove.core.admission;

import java.time.Duration;

import org.banyancove.core.RequestId;
import org.banyancove.core.error.ErrorKind;

/**
 * The result of admission control for a request.
 */
public sealed interface AdmissionDecision {

	/**
	 * Returns the identifier of the request.
	 * @return the identifier
	 */
	RequestId request();

	/**
	 * The request may be placed now.
	 *
	 * @param request the request
	 */
	record Admitted(RequestId request) implements AdmissionDecision {
	}

	/**
	 * The request waits; another decision follows.
	 *
	 * @param request the request
	 * @param expected the expected duration of the wait
	 */
	record Waiting(RequestId request, Duration expected) implements AdmissionDecision {
	}

	/**
	 * The request is refused and answered immediately.
	 *
	 * @param request the request
	 * @param kind the kind of error to return
	 * @param retryAfter the retry delay, computed from the backlog
	 */
	record Refused(RequestId request, ErrorKind kind, Duration retryAfter) implements AdmissionDecision {
	}

}
