package org.banyancove.platform;

import java.net.URI;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.banyancove.core.planner.EngineState;
import org.banyancove.core.planner.OrderResult;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends orders to engines and reads the state of engines. Thread-safe.
 * <p>
 * Some engines ignore the fencing number, so an accepted order does not prove that it was
 * carried out. Only the state that is read back counts.
 */
public final class EngineClient implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EngineClient.class);

	private static final String ORDERS_PATH = "/v1/orders";

	private static final int CONFLICT = 409;

	private final JsonHttpClient client;

	/**
	 * Creates a client for all engines. Nothing is sent until its first call.
	 * @param timeout the timeout of one call
	 * @param executor runs the continuations of calls
	 */
	public EngineClient(Duration timeout, Executor executor) {
		this.client = new JsonHttpClient(timeout, executor);
	}

	/**
	 * Sends an order that sets the state of an engine.
	 * @param address the engine's host and port
	 * @param fence the fencing number
	 * @param state the complete desired state
	 * @return the known outcome; never {@code ReadBack}, and never completes
	 * exceptionally
	 */
	public CompletableFuture<OrderResult> order(String address, long fence, EngineState state) {
		String body = PlatformResponses.write(OrderDocument.of(fence, state));
		return this.client.send(uri(address), "POST", body, Duration.ZERO).handle(EngineClient::orderResult);
	}

	/**
	 * Reads the state of an engine.
	 * @param address the engine's host and port
	 * @return the state, or {@code Unanswered}; never completes exceptionally
	 */
	public CompletableFuture<OrderResult> readBack(String address) {
		return this.client.send(uri(address), "GET", null, Duration.ZERO).handle(EngineClient::readResult);
	}

	/**
	 * Cancels the calls in progress.
	 */
	@Override
	public void close() {
		this.client.close();
	}

	private static URI uri(String address) {
		return URI.create("http://" + address + ORDERS_PATH);
	}

	private static OrderResult orderResult(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
		if (response == null) {
			return new OrderResult.Unanswered();
		}
		if (response.statusCode() == CONFLICT) {
			return new OrderResult.Fenced();
		}
		if (PlatformResponses.isRejected(response)) {
			return new OrderResult.StoreBusy(PlatformResponses.retryAfter(response));
		}
		return new OrderResult.Unanswered();
	}

	private static OrderResult readResult(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
		if (response == null) {
			return new OrderResult.Unanswered();
		}
		try {
			return new OrderResult.ReadBack(PlatformResponses.read(response, OrderDocument.class).state());
		}
		catch (RuntimeException ex) {
			logger.warn("Failed to read the state of an engine: {}", ex.toString());
			return new OrderResult.Unanswered();
		}
	}

	private record OrderDocument(long fence, List<String> models, List<String> adapters, String role) {

		static OrderDocument of(long fence, EngineState state) {
			return new OrderDocument(fence, state.models().stream().sorted().toList(),
					state.adapters().stream().sorted().toList(), state.role());
		}

		EngineState state() {
			return new EngineState(Set.copyOf(this.models), Set.copyOf(this.adapters), this.role);
		}

	}

}
