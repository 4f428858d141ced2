package org.banyancove.platform;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

/**
 * Sends JSON over HTTP, each request on a new connection. Thread-safe.
 * <p>
 * The timeout covers the complete call including the response body, because
 * {@link HttpRequest.Builder#timeout} only covers the time until the headers arrive, and
 * a connection may become unresponsive after them.
 */
final class JsonHttpClient implements AutoCloseable {

	/** Maximum size of a response's body, in bytes. */
	static final int MAXIMUM_RESPONSE_BYTES = 64 << 20;

	private final Duration timeout;

	private final DedicatedConnectionClient client;

	private final Map<Long, CompletableFuture<?>> exchanges = new ConcurrentHashMap<>();

	private final AtomicLong lastNumber = new AtomicLong();

	JsonHttpClient(Duration timeout, Executor executor) {
		this.timeout = timeout;
		this.client = new DedicatedConnectionClient(timeout, executor);
	}

	// Cancels the calls in progress.
	@Override
	public void close() {
		this.exchanges.values().forEach((exchange) -> exchange.cancel(true));
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
		CompletableFuture<HttpResponse<String>> exchange = this.client.sendAsync(request,
				HttpResponse.BodyHandlers.limiting(HttpResponse.BodyHandlers.ofString(), MAXIMUM_RESPONSE_BYTES));
		long number = this.lastNumber.incrementAndGet();
		this.exchanges.put(number, exchange);
		long timeoutMillis = wait.plus(this.timeout).toMillis();
		return exchange.copy().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((response, failure) -> {
			this.exchanges.remove(number);
			if (failure != null) {
				exchange.cancel(true);
			}
		});
	}

}
