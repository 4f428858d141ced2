package org.banyancove.platform;

import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's rate-limited weight store. Thread-safe.
 */
public final class WeightStoreClient {

	private final PlatformConnection connection;

	/**
	 * Creates a client.
	 * @param connection the connection to the platform
	 */
	public WeightStoreClient(PlatformConnection connection) {
		this.connection = connection;
	}

	/**
	 * Fetches a model's weights.
	 * @param model the model's name
	 * @return the size, or the time after which to retry; completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<WeightResult> fetch(String model) {
		String path = "/weights/" + URLEncoder.encode(model, StandardCharsets.UTF_8);
		return this.connection.send(path, "GET", null, Duration.ZERO)
			.thenApply(WeightStoreClient::result)
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	private static WeightResult result(HttpResponse<String> response) {
		if (PlatformResponses.isRejected(response)) {
			return new WeightResult.Refused(PlatformResponses.retryAfter(response));
		}
		return new WeightResult.Fetched(PlatformResponses.read(response, SizeDocument.class).bytes());
	}

	private record SizeDocument(long bytes) {

	}

}
