package org.banyancove.core.peer;

import org.banyancove.core.EndpointId;

/**
 * The load that an entry sent to an endpoint since its last heartbeat.
 *
 * @param endpoint the endpoint
 * @param requests the number of requests
 * @param tokens the number of prompt tokens that the endpoint has probably not cached
 */
public record EndpointLoad(EndpointId endpoint, int requests, long tokens) {

}
