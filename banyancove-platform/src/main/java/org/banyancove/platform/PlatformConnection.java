package org.banyancove.platform;

import java.net.URI;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.jspecify.annotations.Nullable;

/**
 * The access to the platform, shared by all its clients. Thread-safe. Each call uses a
 * new connection.
 */
public final class PlatformConnection implements AutoCloseable {

	private final URI base;

	private final JsonHttpClient client;

	/**
	 * Creates a connection. Nothing is sent until a client's first call.
	 * @param base the platform's address, such as {@code http://127.0.0.1:7000}
	 * @param timeout the timeout of one call, in addition to the wait that it requests
	 * @param executor runs the continuations of calls
	 */
	public PlatformConnection(URI base, Duration timeout, Executor executor) {
		if (base.getScheme() == null || base.getHost() == null) {
			throw new IllegalArgumentException("base must be an absolute http address: " + base);
		}
		this.base = base;
		this.client = new JsonHttpClient(timeout, executor);
	}

	/**
	 * Cancels the calls in progress.
	 */
	@Override
	public void close() {
		this.client.close();
	}

	/**
	 * Sends a request.
	 * @param path the path and query below the base address
	 * @param method the HTTP method
	 * @param body the JSON body, or {@code null} for none
	 * @param wait the maximum time that the platform waits before it responds
	 * @return the response; completes exceptionally with the I/O error or timeout
	 */
	CompletableFuture<HttpResponse<String>> send(String path, String method, @Nullable String body, Duration wait) {
		return this.client.send(URI.create(this.base + path), method, body, wait);
	}

}
