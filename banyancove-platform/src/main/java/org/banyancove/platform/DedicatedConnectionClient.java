package org.banyancove.platform;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * An HTTP client that sends each request on a new connection. Thread-safe.
 * <p>
 * HTTP/1.1 responses don't name their request, so a response proves to be that of a
 * request only if it is the first one on a connection that has carried no other request.
 * On a pooled connection a late, duplicate or incomplete response to an earlier request
 * could become, or become part of, the next one. A pooled connection may also have become
 * unresponsive.
 * <p>
 * A response whose head no final response can have fails its call.
 */
public final class DedicatedConnectionClient {

	private final Duration connectTimeout;

	private final Executor executor;

	/**
	 * Creates a client.
	 * @param connectTimeout the timeout for connecting
	 * @param executor runs the continuations of calls
	 */
	public DedicatedConnectionClient(Duration connectTimeout, Executor executor) {
		this.connectTimeout = connectTimeout;
		this.executor = executor;
	}

	/**
	 * Sends a request and waits for the response. An interrupt closes the connection.
	 * @param <T> the type of the response body
	 * @param request the request
	 * @param bodyHandler reads the response body
	 * @return the response
	 * @throws IOException if the call fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	public <T> HttpResponse<T> send(HttpRequest request, HttpResponse.BodyHandler<T> bodyHandler)
			throws IOException, InterruptedException {
		HttpClient client = newClient();
		try {
			return client.send(request, new CheckedBodyHandler<>(request, bodyHandler));
		}
		finally {
			closeAfterResponse(client);
		}
	}

	/**
	 * Sends a request. Cancelling the returned future closes the connection.
	 * @param <T> the type of the response body
	 * @param request the request
	 * @param bodyHandler reads the response body
	 * @return the response; completes exceptionally if the call fails
	 */
	public <T> CompletableFuture<HttpResponse<T>> sendAsync(HttpRequest request,
			HttpResponse.BodyHandler<T> bodyHandler) {
		HttpClient client = newClient();
		try {
			return client.sendAsync(request, new CheckedBodyHandler<>(request, bodyHandler));
		}
		finally {
			closeAfterResponse(client);
		}
	}

	// A body that is still being received is not cut off.
	private static void closeAfterResponse(HttpClient client) {
		client.shutdown();
	}

	private HttpClient newClient() {
		return HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(this.connectTimeout)
			.executor(this.executor)
			.build();
	}

}
