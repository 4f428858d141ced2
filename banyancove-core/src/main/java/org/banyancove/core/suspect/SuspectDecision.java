package org.banyancove.core.suspect;

import java.time.Duration;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.error.ErrorKind;

/**
 * Whether and how a request may run.
 */
public sealed interface SuspectDecision {

	/**
	 * The request is not suspect.
	 */
	record NotSuspect() implements SuspectDecision {
	}

	/**
	 * The request is suspect and runs isolated from other suspects.
	 *
	 * @param excluded the endpoints at which it must not be placed
	 */
	record RunIsolated(Set<EndpointId> excluded) implements SuspectDecision {
	}

	/**
	 * The request waits: the same request is already running, or reports of its last
	 * crash may still arrive.
	 *
	 * @param retryAfter the delay before the next decision, unless the other request ends
	 * earlier
	 */
	record Wait(Duration retryAfter) implements SuspectDecision {
	}

	/**
	 * The request crashed two endpoints and is refused without a retry.
	 *
	 * @param kind the kind of error to return
	 */
	record Refused(ErrorKind kind) implements SuspectDecision {
	}

}
