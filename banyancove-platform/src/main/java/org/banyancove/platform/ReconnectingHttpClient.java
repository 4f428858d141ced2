package org.banyancove.platform;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends JSON over HTTP and abandons its connections after any failure. Thread-safe.
 * <p>
 * A connection can become permanently unresponsive while new connections work, and the
 * JDK's client pools its connections. After any timeout or I/O error the next call
 * therefore uses a new {@link HttpClient} with an empty pool, so that no other connection
 * of the previous pool, which may be unresponsive too, is reused. Calls in progress
 * complete on the previous client.
 * <p>
 * The timeout covers the complete call including the response body, because
 * {@link HttpRequest.Builder#timeout} only covers the time until the headers arrive, and
 * a connection may become unresponsive after them.
 */
final class ReconnectingHttpClient implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ReconnectingHttpClient.class);

	private final Duration timeout;

	private final Executor executor;

	private final AtomicReference<HttpClient> client;

	ReconnectingHttpClient(Duration timeout, Executor executor) {
		this.timeout = timeout;
		this.executor = executor;
		this.client = new AtomicReference<>(newClient());
	}

	// Shuts down the current client without waiting for calls in progress.
	@Override
	public void close() {
		this.client.get().shutdownNow();
	}

	/**
	 * Sends a request.
	 * @param uri the target
	 * @param method the HTTP method
	 * @param body the JSON body, or {@code null} for none
	 * @param wait the maximum time that the server waits before it responds
	 * @return the response; completes exceptionally with the I/O error or timeout
	 */
	CompletableFuture<HttpResponse<String>> send(URI uri, String method, @Nullable String body, Duration wait) {
		HttpRequest.BodyPublisher publisher = (body != null) ? HttpRequest.BodyPublishers.ofString(body)
				: HttpRequest.BodyPublishers.noBody();
		HttpRequest request = HttpRequest.newBuilder(uri)
			.header("Content-Type", "application/json")
			.method(method, publisher)
			.build();
		HttpClient current = this.client.get();
		CompletableFuture<HttpResponse<String>> exchange = current.sendAsync(request,
				HttpResponse.BodyHandlers.ofString());
		long timeoutMillis = wait.plus(this.timeout).toMillis();
		return exchange.copy().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((response, failure) -> {
			if (failure != null) {
				exchange.cancel(true);
				replace(current, uri, failure);
			}
		});
	}

	private void replace(HttpClient failed, URI uri, Throwable failure) {
		HttpClient replacement = newClient();
		if (this.client.compareAndSet(failed, replacement)) {
			logger.warn("Call to {} failed; replacing its HTTP client: {}", uri, failure.toString());
			failed.shutdown();
		}
		else {
			replacement.shutdownNow();
		}
	}

	private HttpClient newClient() {
		return HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(this.timeout)
			.executor(this.executor)
			.build();
	}

}
