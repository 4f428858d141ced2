package org.banyancove.standins.engine;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * Loads models from the platform's weight store at the rate that the store admits, or
 * instantly without a store. This class is thread-safe.
 */
final class ModelLoader {

	private static final Duration RETRY_DELAY_AFTER_FAILURE = Duration.ofMillis(200);

	private final @Nullable InetSocketAddress store;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Set<String> loaded = ConcurrentHashMap.newKeySet();

	ModelLoader(@Nullable InetSocketAddress store) {
		this.store = store;
	}

	boolean isLoaded(String model) {
		return this.loaded.contains(model);
	}

	void unloadAllExcept(Collection<String> models) {
		this.loaded.retainAll(models);
	}

	void load(String model) throws InterruptedException {
		while (!this.loaded.contains(model)) {
			Duration retryAfter = tryLoad(model);
			if (retryAfter.isPositive()) {
				Thread.sleep(retryAfter);
			}
			else {
				this.loaded.add(model);
			}
		}
	}

	private Duration tryLoad(String model) throws InterruptedException {
		if (this.store == null) {
			return Duration.ZERO;
		}
		URI uri = URI.create("http://127.0.0.1:" + this.store.getPort() + "/weights/" + model);
		try {
			HttpResponse<String> response = this.client.send(HttpRequest.newBuilder(uri).build(),
					HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() == 200) {
				return Duration.ZERO;
			}
			return Duration.ofSeconds(response.headers().firstValueAsLong("Retry-After").orElse(1));
		}
		catch (IOException ex) {
			// The store is temporarily unavailable. The order still applies, so retry.
			return RETRY_DELAY_AFTER_FAILURE;
		}
	}

}
