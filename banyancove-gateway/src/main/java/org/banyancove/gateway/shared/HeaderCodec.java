package org.banyancove.gateway.shared;

import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Reads and writes the header fields that callers, gateways and endpoints exchange.
 */
public interface HeaderCodec {

	/**
	 * Reads the metadata of a caller's request.
	 * @param headers the request headers
	 * @return the metadata; a value that cannot be parsed counts as absent
	 */
	CallerHeaders readCaller(HttpHeaders headers);

	/**
	 * Returns whether a caller's header is forwarded to the endpoint.
	 * @param name the header name
	 * @return {@code false} for headers that only the gateway may set
	 */
	boolean isForwarded(String name);

	/**
	 * Adds the metadata of a request to an endpoint.
	 * @param headers the request headers
	 * @param call the metadata to add
	 */
	void writeCall(HttpHeaders headers, EndpointCall call);

	/**
	 * Updates the remaining time in a request that is sent later than it was created.
	 * @param headers the request headers
	 * @param remaining the remaining time that the caller waits
	 */
	void writeRemaining(HttpHeaders headers, Duration remaining);

	/**
	 * Reads the metadata of an endpoint's response.
	 * @param headers the response headers
	 * @return the metadata
	 */
	EndpointHeaders readEndpoint(HttpHeaders headers);

}
