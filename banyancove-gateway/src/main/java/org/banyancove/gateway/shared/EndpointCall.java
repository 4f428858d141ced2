package org.banyancove.gateway.shared;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * What the gateway adds to a request for the endpoint.
 *
 * @param endpoint the endpoint that is meant
 * @param remaining how long the caller still waits, or {@code null} if it didn't say
 * @param account the client account, or {@code null} for an anonymous request
 * @param urgency from 0, the most urgent, to 9; {@code null} where the service ranks
 * nothing
 * @param lastEvent the event after which a stream is to go on, or {@code null}
 * @param prefixSource where the endpoint is to copy the shared parts of the prompt from,
 * or {@code null}
 */
public record EndpointCall(EndpointId endpoint, @Nullable Duration remaining, @Nullable AccountName account,
		@Nullable Integer urgency, @Nullable String lastEvent, @Nullable InetSocketAddress prefixSource) {

	/**
	 * Creates the call.
	 * @throws IllegalArgumentException if {@code urgency} is out of its range
	 */
	public EndpointCall {
		if (urgency != null && (urgency < 0 || urgency > 9)) {
			throw new IllegalArgumentException("urgency must be from 0 to 9: " + urgency);
		}
	}

}
