package org.banyancove.entry.endpoint;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.core.Body;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.AttemptRequest;
import org.banyancove.core.entry.AttemptResult;
import org.banyancove.core.entry.EntryCommand;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.entry.EventSink;
import org.banyancove.http.NoGoAheadException;
import org.banyancove.http.WholeRequest;
import org.banyancove.http.WholeResponse;
import org.banyancove.http.WholeResponseClient;
import org.banyancove.platform.DedicatedConnectionClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs attempts at endpoints, each on a virtual thread of its own, and posts the results
 * to the tick loop.
 */
public final class EndpointClient implements AutoCloseable {

	/** Maximum size of the body of an answer that is kept whole, in bytes. */
	static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;

	/** Maximum size of one attempt's stream of events, in bytes. */
	static final int MAXIMUM_STREAM_BYTES = 32 << 20;

	/** Maximum size of a KV cache that is moved, in bytes. */
	static final int MAXIMUM_CACHE_BYTES = 64 << 20;

	private static final Logger logger = LoggerFactory.getLogger(EndpointClient.class);

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final Map<AttemptKey, Future<?>> running = new ConcurrentHashMap<>();

	private final ObjectMapper mapper = new ObjectMapper();

	private final DedicatedConnectionClient client;

	private final WholeResponseClient plainCalls;

	private final Duration answerTimeout;

	private final EventSink events;

	/**
	 * Creates the client.
	 * @param connectTimeout the timeout for connecting to an endpoint
	 * @param answerTimeout the timeout for the start of an endpoint's response
	 * @param events the tick loop
	 */
	public EndpointClient(Duration connectTimeout, Duration answerTimeout, EventSink events) {
		this.client = new DedicatedConnectionClient(connectTimeout, this.executor);
		this.plainCalls = new WholeResponseClient(connectTimeout, MAXIMUM_RESPONSE_BYTES, System::nanoTime);
		this.answerTimeout = answerTimeout;
		this.events = events;
	}

	/**
	 * Starts an attempt; its result is always posted unless the attempt is cancelled.
	 * @param attempt the attempt
	 */
	public void start(Attempt attempt) {
		AttemptKey key = new AttemptKey(attempt.request(), attempt.number());
		FutureTask<Void> task = new FutureTask<>(() -> run(key, attempt), null);
		this.running.put(key, task);
		this.executor.execute(task);
	}

	/**
	 * Cancels an attempt and closes its connection. Events that it still posts are
	 * recognized by the attempt's number.
	 * @param request the request
	 * @param number the attempt's number
	 */
	public void cancel(RequestId request, int number) {
		Future<?> future = this.running.remove(new AttemptKey(request, number));
		if (future != null) {
			future.cancel(true);
		}
	}

	/**
	 * Cancels a stream at its engine, without waiting for the response.
	 * @param request the request
	 * @param address the endpoint's address
	 */
	public void cancelStream(RequestId request, String address) {
		HttpRequest cancelRequest = request(address, "/v1/streams/" + request).DELETE().build();
		this.client.sendAsync(cancelRequest, limited(HttpResponse.BodyHandlers.discarding(), MAXIMUM_RESPONSE_BYTES));
	}

	/**
	 * Copies a stream's KV cache from one engine to another and posts whether the target
	 * imported it.
	 * @param move the stream, the source and the target
	 */
	public void moveCache(EntryCommand.MoveCache move) {
		this.executor.execute(() -> {
			boolean imported = false;
			try {
				imported = copyCache(move);
			}
			catch (IOException ex) {
				logger.info("Failed to copy the KV cache of request {} from {}", move.request(), move.source(), ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			this.events.post(new EntryEvent.CacheMoved(move.request(), move.target(), imported));
		});
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
		this.plainCalls.close();
	}

	private void run(AttemptKey key, Attempt attempt) {
		AttemptResult result = result(attempt);
		this.running.remove(key);
		if (Thread.currentThread().isInterrupted()) {
			return;
		}
		this.events.post(new EntryEvent.AttemptEnded(attempt.request(), attempt.number(), result));
	}

	private AttemptResult result(Attempt attempt) {
		try {
			return switch (attempt.content()) {
				case AttemptRequest.PlainCall call -> plainCall(attempt, call);
				case AttemptRequest.Generate generate -> stream(attempt, generate(attempt, generate), 0);
				case AttemptRequest.Reattach reattach ->
					stream(attempt, reattach(attempt, reattach), reattach.fromOffset());
				case AttemptRequest.Continue continuation ->
					stream(attempt, resume(attempt, continuation), continuation.fromOffset());
			};
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return new AttemptResult.NeverSent("cannot connect to " + attempt.address());
		}
		catch (IOException ex) {
			logger.debug("Attempt {} of request {} failed", attempt.number(), attempt.request(), ex);
			return new AttemptResult.Broken(String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new AttemptResult.Broken("cancelled");
		}
	}

	private AttemptResult plainCall(Attempt attempt, AttemptRequest.PlainCall call)
			throws IOException, InterruptedException {
		Map<String, String> headers = new HashMap<>();
		headers.put("Content-Type", call.contentType());
		headers.put("X-Request-Id", attempt.request().value());
		if (call.idempotencyKey() != null) {
			headers.put("Idempotency-Key", call.idempotencyKey());
		}
		try {
			WholeResponse response = this.plainCalls.send(new WholeRequest(uri(attempt.address(), call.path()),
					call.method(), headers, call.body(), call.atMostOnce(), this.answerTimeout));
			String contentType = response.headers().get("Content-Type", "application/octet-stream");
			return new AttemptResult.Answered(response.status(), contentType, response.body());
		}
		catch (NoGoAheadException ex) {
			return new AttemptResult.NeverSent("no go-ahead from " + attempt.address());
		}
	}

	private HttpRequest generate(Attempt attempt, AttemptRequest.Generate generate) throws IOException {
		ObjectNode body = chat(generate.body());
		return chatRequest(attempt, body, generate.priority());
	}

	private HttpRequest reattach(Attempt attempt, AttemptRequest.Reattach reattach) {
		String path = "/v1/streams/" + attempt.request() + "?from=" + reattach.fromOffset();
		return request(attempt.address(), path).timeout(this.answerTimeout).GET().build();
	}

	private HttpRequest resume(Attempt attempt, AttemptRequest.Continue continuation) throws IOException {
		ObjectNode body = chat(continuation.body());
		body.putObject("resume").put("offset", continuation.fromOffset()).put("text", continuation.text());
		return chatRequest(attempt, body, continuation.priority());
	}

	private boolean copyCache(EntryCommand.MoveCache move) throws IOException, InterruptedException {
		String path = "/v1/kv/" + move.request();
		HttpRequest exportRequest = request(move.source(), path).timeout(this.answerTimeout).GET().build();
		HttpResponse<byte[]> cache = this.client.send(exportRequest,
				limited(HttpResponse.BodyHandlers.ofByteArray(), MAXIMUM_CACHE_BYTES));
		if (cache.statusCode() != OK || !statesItsEnd(cache.headers())) {
			return false;
		}
		HttpRequest importRequest = request(move.targetAddress(), path).timeout(this.answerTimeout)
			.PUT(HttpRequest.BodyPublishers.ofByteArray(cache.body()))
			.build();
		int status = this.client
			.send(importRequest, limited(HttpResponse.BodyHandlers.discarding(), MAXIMUM_RESPONSE_BYTES))
			.statusCode();
		return status >= OK && status < MULTIPLE_CHOICES;
	}

	// A body that ends with its connection may be incomplete.
	private static boolean statesItsEnd(HttpHeaders headers) {
		return headers.firstValue("Content-Length").isPresent() || headers.firstValue("Transfer-Encoding").isPresent();
	}

	private AttemptResult stream(Attempt attempt, HttpRequest request, long fromOffset)
			throws IOException, InterruptedException {
		HttpResponse<InputStream> response = this.client.send(request,
				(head) -> limited(HttpResponse.BodyHandlers.ofInputStream(),
						(head.statusCode() == OK) ? MAXIMUM_STREAM_BYTES : MAXIMUM_RESPONSE_BYTES)
					.apply(head));
		try (InputStream input = response.body()) {
			int status = response.statusCode();
			if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
				return new AttemptResult.Refused(status, "the engine takes no more work");
			}
			if (status != OK) {
				return new AttemptResult.Answered(status, "application/json", Body.copyOf(input.readAllBytes()));
			}
			EngineStreamReader reader = new EngineStreamReader(this.mapper, fromOffset);
			return reader.read(input, (from, to, text) -> this.events
				.post(new EntryEvent.PieceArrived(attempt.request(), attempt.number(), from, to, text)));
		}
	}

	private ObjectNode chat(Body body) throws IOException {
		ObjectNode chat = (ObjectNode) this.mapper.readTree(body.toByteArray());
		chat.put("stream", true);
		return chat;
	}

	private HttpRequest chatRequest(Attempt attempt, ObjectNode body, int priority) throws IOException {
		return request(attempt.address(), CHAT_COMPLETIONS_PATH).timeout(this.answerTimeout)
			.header("Content-Type", "application/json")
			.header("X-Request-Id", attempt.request().value())
			.header("X-Attempt", String.valueOf(attempt.number()))
			.header("X-Priority", String.valueOf(priority))
			.POST(HttpRequest.BodyPublishers.ofByteArray(this.mapper.writeValueAsBytes(body)))
			.build();
	}

	private static <T> HttpResponse.BodyHandler<T> limited(HttpResponse.BodyHandler<T> handler, int maximumBytes) {
		return HttpResponse.BodyHandlers.limiting(handler, maximumBytes);
	}

	private static HttpRequest.Builder request(String address, String path) {
		return HttpRequest.newBuilder(uri(address, path));
	}

	private static URI uri(String address, String path) {
		return URI.create("http://" + address + path);
	}

	/**
	 * Identifies a running attempt.
	 */
	private record AttemptKey(RequestId request, int number) {

	}

}
