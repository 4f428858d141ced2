package org.banyancove.http;

import java.net.URI;
import java.time.Duration;
import java.util.Map;

import org.banyancove.core.Body;

/**
 * A request whose response is awaited whole.
 *
 * @param uri the URI, with the host and port to connect to
 * @param method the method
 * @param headers the headers besides those of the connection and the body
 * @param body the body, which may be empty
 * @param awaitsGoAhead whether the body is sent only after the status 100 (Continue)
 * @param timeout the time from the connection to the head of the response
 */
public record WholeRequest(URI uri, String method, Map<String, String> headers, Body body, boolean awaitsGoAhead,
		Duration timeout) {

	/**
	 * Creates a request.
	 */
	public WholeRequest {
		if (uri.getHost() == null || uri.getPort() < 0) {
			throw new IllegalArgumentException("uri must have a host and a port: " + uri);
		}
		headers = Map.copyOf(headers);
		awaitsGoAhead = awaitsGoAhead && body.length() > 0;
	}

	String target() {
		String path = uri().getRawPath().isEmpty() ? "/" : uri().getRawPath();
		return (uri().getRawQuery() != null) ? path + "?" + uri().getRawQuery() : path;
	}

}
