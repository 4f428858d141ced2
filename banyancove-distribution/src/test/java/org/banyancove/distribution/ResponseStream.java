package org.banyancove.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A response streamed as server-sent events. Records what a caller has received: the
 * pieces in order of arrival, how the stream ended, and whether the connection broke.
 */
final class ResponseStream {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final AtomicReference<String> text = new AtomicReference<>("");

	private final AtomicInteger tokens = new AtomicInteger();

	private final CompletableFuture<HttpResponse<?>> head = new CompletableFuture<>();

	private final CompletableFuture<End> end = new CompletableFuture<>();

	private volatile String error = "";

	private volatile boolean done;

	ResponseStream(HttpClient client, HttpRequest request) {
		Thread.ofVirtual().name("stream").start(() -> read(client, request));
	}

	int status() {
		return this.head.join().statusCode();
	}

	// Waits until the request is accepted; an accepted request must survive
	// failures.
	String requestId() {
		return this.head.join().headers().firstValue("X-Request-Id").orElseThrow();
	}

	String header(String name) {
		return this.head.join().headers().firstValue(name).orElse("");
	}

	ResponseStream awaitTokens(int count) {
		Await.until(count + " tokens, or the end", () -> this.tokens.get() >= count || this.end.isDone());
		return this;
	}

	int tokens() {
		return this.tokens.get();
	}

	String text() {
		return this.text.get();
	}

	boolean hasEnded() {
		return this.end.isDone();
	}

	// Waits for the end of the stream. A stream without its final event is broken.
	End awaitEnd() {
		Await.until("the end of a stream at " + this.tokens.get() + " tokens", this.end::isDone);
		return this.end.join();
	}

	// The JSON of the error that ended the stream, or an empty string.
	String error() {
		return this.error;
	}

	private void read(HttpClient client, HttpRequest request) {
		try {
			HttpResponse<Stream<String>> response = client.send(request, HttpResponse.BodyHandlers.ofLines());
			this.head.complete(response);
			try (Stream<String> lines = response.body()) {
				lines.forEach(this::line);
			}
			this.end.complete(this.done ? End.COMPLETE : (this.error.isEmpty() ? End.BROKEN : End.FAILED));
		}
		catch (IOException | UncheckedIOException ex) {
			this.head.completeExceptionally(ex);
			this.end.complete(End.BROKEN);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void line(String line) {
		if (!line.startsWith("data: ")) {
			if (line.startsWith("{")) {
				this.error = line;
			}
			return;
		}
		String data = line.substring("data: ".length());
		if (data.equals("[DONE]")) {
			this.done = true;
			return;
		}
		JsonNode event = parse(data);
		if (event.has("error")) {
			this.error = data;
			return;
		}
		String piece = event.at("/choices/0/delta/content").asText();
		this.text.accumulateAndGet(piece, String::concat);
		this.tokens.addAndGet((int) piece.strip().chars().filter((character) -> character == ' ').count()
				+ (piece.isBlank() ? 0 : 1));
	}

	private static JsonNode parse(String data) {
		try {
			return MAPPER.readTree(data);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * How a stream ended.
	 */
	enum End {

		/** With the final event. */
		COMPLETE,

		/** With an explicit error. */
		FAILED,

		/** The connection ended or broke before the final event. */
		BROKEN

	}

}
