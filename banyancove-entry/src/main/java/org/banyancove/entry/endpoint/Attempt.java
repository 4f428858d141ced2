package org.banyancove.entry.endpoint;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.AttemptRequest;

/**
 * One attempt of one request at one endpoint.
 *
 * @param request the request
 * @param number the attempt's number within the request
 * @param endpoint the endpoint
 * @param address the endpoint's host and port
 * @param content the request to send
 */
public record Attempt(RequestId request, int number, EndpointId endpoint, String address, AttemptRequest content) {

}
