package org.banyancove.gateway.shared;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * The request metadata that the gateway sends to an endpoint.
 *
 * @param endpoint the intended endpoint
 * @param remaining the remaining time that the caller waits, or {@code null} if it is not
 * stated
 * @param account the client account, or {@code null} for an anonymous request
 * @param priority the request priority, from 0 (highest) to 9 (lowest), or {@code null}
 * if the service does not prioritize requests
 * @param lastEventId the id of the event after which to resume a stream, or {@code null}
 * @param prefixSource the address from which the endpoint can copy the cached prefixes of
 * the prompt, or {@code null}
 * @param continued the run that the endpoint continues, or {@code null} if it begins one
 */
public record EndpointCall(EndpointId endpoint, @Nullable Duration remaining, @Nullable AccountName account,
		@Nullable Integer priority, @Nullable String lastEventId, @Nullable InetSocketAddress prefixSource,
		@Nullable StoppedRun continued) {

	/**
	 * Creates the metadata.
	 * @throws IllegalArgumentException if {@code priority} is not from 0 to 9
	 */
	public EndpointCall {
		if (priority != null && (priority < 0 || priority > 9)) {
			throw new IllegalArgumentException("priority must be from 0 to 9: " + priority);
		}
	}

}
