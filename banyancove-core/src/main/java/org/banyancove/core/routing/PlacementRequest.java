package org.banyancove.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.Profile;

/**
 * A request to be placed on an endpoint.
 *
 * @param request the request's identifier
 * @param account the account of the caller
 * @param service the requested service
 * @param profile the profile under which it was accepted
 * @param prefixes the prefixes of its prompt, shortest first; empty for a plain service
 * @param promptTokens the number of tokens in its prompt; 1 for a plain service
 * @param outputTokens the expected number of tokens in its answer; 0 for a plain service
 * @param excluded the endpoints that must not receive it, such as those that failed it
 * @param acceptedAt when the request was accepted
 * @param dataCenter the preferred data center, usually that of the entry
 */
public record PlacementRequest(RequestId request, AccountName account, ServiceName service, Profile profile,
		List<PromptPrefix> prefixes, int promptTokens, int outputTokens, Set<EndpointId> excluded, Instant acceptedAt,
		Optional<DataCenterName> dataCenter) {

	/**
	 * Creates the request with immutable copies.
	 * @throws IllegalArgumentException if a count is negative
	 */
	public PlacementRequest {
		if (promptTokens < 0 || outputTokens < 0) {
			throw new IllegalArgumentException(
					"promptTokens and outputTokens must not be negative: " + promptTokens + " and " + outputTokens);
		}
		prefixes = List.copyOf(prefixes);
		excluded = Set.copyOf(excluded);
	}

}
