package org.banyancove.gateway.shared;

import java.time.Duration;

import org.banyancove.gateway.endpoint.Prompt;
import org.jspecify.annotations.Nullable;

/**
 * The request metadata that a caller sends in headers.
 *
 * @param requestId the request id, or {@code null} if there is none
 * @param deadline the remaining time that the caller waits, or {@code null} if it is not
 * stated
 * @param key the key of the client account, or {@code null}
 * @param lastEventId the id of the event after which to resume a stream, or {@code null}
 * @param resumedRequestId the id of the request that brought the first event of the
 * stream to resume, or {@code null}; as sent, so that it may be of any length
 * @param prompt the prompt
 */
public record CallerHeaders(@Nullable String requestId, @Nullable Duration deadline, @Nullable String key,
		@Nullable String lastEventId, @Nullable String resumedRequestId, Prompt prompt) {

	/**
	 * Creates the metadata.
	 * @throws IllegalArgumentException if {@code deadline} is negative
	 */
	public CallerHeaders {
		if (deadline != null && deadline.isNegative()) {
			throw new IllegalArgumentException("deadline must not be negative: " + deadline);
		}
	}

}
