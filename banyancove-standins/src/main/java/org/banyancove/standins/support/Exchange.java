package org.banyancove.standins.support;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP request and its response, with support for JSON and server-sent events.
 */
public final class Exchange {

	private final HttpExchange exchange;

	private final BooleanSupplier silenced;

	private final byte[] body;

	private final Map<String, String> query;

	private @Nullable OutputStream eventStream;

	Exchange(HttpExchange exchange, BooleanSupplier silenced) throws IOException {
		this.exchange = exchange;
		this.silenced = silenced;
		this.body = exchange.getRequestBody().readAllBytes();
		String rawQuery = exchange.getRequestURI().getRawQuery();
		this.query = Stream.of((rawQuery != null) ? rawQuery.split("&") : new String[0])
			.map((pair) -> pair.split("=", 2))
			.filter((pair) -> pair.length == 2)
			.collect(Collectors.toMap((pair) -> pair[0], (pair) -> URLDecoder.decode(pair[1], StandardCharsets.UTF_8),
					(first, second) -> second));
	}

	/**
	 * Returns the method and path, as {@code GET /path}.
	 * @return the route
	 */
	public String route() {
		return this.exchange.getRequestMethod() + " " + path();
	}

	/**
	 * Returns the path.
	 * @return the path
	 */
	public String path() {
		return this.exchange.getRequestURI().getPath();
	}

	/**
	 * Returns a segment of the path.
	 * @param index the segment's index from zero
	 * @return the segment, empty if the path is shorter
	 */
	public String segment(int index) {
		String[] segments = path().split("/");
		return (segments.length > index + 1) ? segments[index + 1] : "";
	}

	/**
	 * Returns a header.
	 * @param name the header's name
	 * @param defaultValue the value to return if it is absent
	 * @return the value
	 */
	public String header(String name, String defaultValue) {
		String value = this.exchange.getRequestHeaders().getFirst(name);
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Returns a query parameter.
	 * @param name the parameter's name
	 * @param defaultValue the value to return if it is absent
	 * @return the value
	 */
	public String query(String name, String defaultValue) {
		return this.query.getOrDefault(name, defaultValue);
	}

	/**
	 * Returns a query parameter as a number.
	 * @param name the parameter's name
	 * @param defaultValue the value to return if it is absent
	 * @return the value
	 */
	public long query(String name, long defaultValue) {
		return Long.parseLong(query(name, Long.toString(defaultValue)));
	}

	/**
	 * Returns the request body.
	 * @return a copy of the bytes
	 */
	public byte[] body() {
		return this.body.clone();
	}

	/**
	 * Reads the body as JSON.
	 * @param <T> the type of the value
	 * @param type the type to read
	 * @return the value
	 * @throws IOException if the body is not valid JSON of that type
	 */
	public <T> T json(Class<T> type) throws IOException {
		return Json.MAPPER.readValue(this.body, type);
	}

	/**
	 * Reads the body as a JSON tree.
	 * @return the tree
	 * @throws IOException if the body is not valid JSON
	 */
	public JsonNode json() throws IOException {
		return Json.MAPPER.readTree(this.body);
	}

	/**
	 * Sends a value as a JSON response.
	 * @param status the HTTP status
	 * @param value the value
	 * @throws IOException if the client has disconnected
	 */
	public void send(int status, Object value) throws IOException {
		send(status, "application/json", Json.MAPPER.writeValueAsBytes(value));
	}

	/**
	 * Sends a response.
	 * @param status the HTTP status
	 * @param contentType the content type
	 * @param bytes the response body
	 * @throws IOException if the client has disconnected
	 */
	public void send(int status, String contentType, byte[] bytes) throws IOException {
		hangIfSilenced();
		this.exchange.getResponseHeaders().set("Content-Type", contentType);
		this.exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
		this.exchange.getResponseBody().write(bytes);
		this.exchange.close();
	}

	/**
	 * Sends an error response without a retry delay.
	 * @param status the HTTP status
	 * @param message the error message
	 * @throws IOException if the client has disconnected
	 */
	public void sendError(int status, String message) throws IOException {
		send(status, new ErrorBody(new ErrorBody.Detail(message)));
	}

	/**
	 * Sends an error response with a {@code Retry-After} header.
	 * @param status the HTTP status
	 * @param message the error message
	 * @param retryAfter the retry delay, rounded up to seconds, at least one
	 * @throws IOException if the client has disconnected
	 */
	public void sendError(int status, String message, Duration retryAfter) throws IOException {
		long seconds = Math.max(1, retryAfter.plusMillis(999).toSeconds());
		this.exchange.getResponseHeaders().set("Retry-After", Long.toString(seconds));
		sendError(status, message);
	}

	/**
	 * Sends and flushes one server-sent event. The first event also sends the response
	 * headers.
	 * @param id the event's identifier, or {@code null}
	 * @param data the event's data, without line breaks
	 * @throws IOException if the client has disconnected
	 */
	public void sendEvent(@Nullable String id, String data) throws IOException {
		hangIfSilenced();
		OutputStream stream = openEventStream();
		String event = ((id != null) ? "id: " + id + "\n" : "") + "data: " + data + "\n\n";
		stream.write(event.getBytes(StandardCharsets.UTF_8));
		stream.flush();
	}

	/**
	 * Ends the event stream as a complete response.
	 * @throws IOException if the client has disconnected
	 */
	public void endEvents() throws IOException {
		// Without response headers, closing the exchange would drop the connection.
		openEventStream();
		this.exchange.close();
	}

	/**
	 * Blocks with the connection open and nothing written to it. To the client this looks
	 * like a connection that was lost without being closed.
	 * @throws ConnectionDropException when the stand-in is stopped
	 */
	public void hangUntilStopped() throws ConnectionDropException {
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ConnectionDropException("The stand-in is stopping");
		}
	}

	void hangIfSilenced() throws ConnectionDropException {
		if (this.silenced.getAsBoolean()) {
			hangUntilStopped();
		}
	}

	private OutputStream openEventStream() throws IOException {
		OutputStream stream = this.eventStream;
		if (stream == null) {
			this.exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
			this.exchange.sendResponseHeaders(200, 0);
			stream = this.exchange.getResponseBody();
			this.eventStream = stream;
		}
		return stream;
	}

	private record ErrorBody(Detail error) {

		private record Detail(String message) {
		}

	}

}
