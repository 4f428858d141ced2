package org.banyancove.entry.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.AnswerPart;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;

/**
 * Writes the parts of one answer to one caller, on the thread of the caller's exchange.
 */
final class AnswerWriter {

	private static final String APPLICATION_JSON = "application/json";

	private static final int OK = 200;

	private final HttpExchange exchange;

	private final RequestId request;

	private final AnswerJson json;

	AnswerWriter(HttpExchange exchange, RequestId request, AnswerJson json) {
		this.exchange = exchange;
		this.request = request;
		this.json = json;
	}

	// Writes the answer as server-sent events. The headers are sent as soon as the
	// request is accepted, so that a caller has the request identifier with which it
	// can reconnect after its connection fails.
	void writeEvents(CallerConnection connection) throws IOException, InterruptedException {
		AnswerPart first = connection.next();
		if (first instanceof AnswerPart.Failure failure) {
			writeFailure(failure);
			return;
		}
		Headers headers = headers();
		headers.set("Content-Type", "text/event-stream");
		headers.set("Cache-Control", "no-store");
		this.exchange.sendResponseHeaders(OK, 0);
		try (OutputStream output = this.exchange.getResponseBody()) {
			output.flush();
			writeEvents(first, connection, output);
		}
	}

	// Writes the answer as one HTTP response, after its last part.
	void writeComplete(CallerConnection connection) throws IOException, InterruptedException {
		StringBuilder text = new StringBuilder();
		while (true) {
			switch (connection.next()) {
				case AnswerPart.Accepted accepted -> {
				}
				case AnswerPart.Restarted restarted -> text.setLength(0);
				case AnswerPart.Text piece -> text.append(piece.text());
				case AnswerPart.EndOfText end -> {
					byte[] body = utf8(this.json.completion(this.request, text.toString(), end));
					write(OK, APPLICATION_JSON, CallExecution.RAN, body);
					return;
				}
				case AnswerPart.PlainResponse response -> {
					if (response.repeated()) {
						headers().set(CallerHeaders.REPEATED, "true");
					}
					write(response.status(), response.contentType(), CallExecution.RAN, response.body().toByteArray());
					return;
				}
				case AnswerPart.Failure failure -> {
					writeFailure(failure);
					return;
				}
			}
		}
	}

	void writeFailure(AnswerPart.Failure failure) throws IOException {
		Duration retryAfter = failure.retryAfter();
		if (retryAfter != null) {
			headers().set("Retry-After", String.valueOf(roundUpToSeconds(retryAfter)));
		}
		headers().set(CallerHeaders.ERROR_CODE, failure.kind().code());
		write(failure.kind().status(), APPLICATION_JSON, failure.execution(),
				utf8(this.json.failure(this.request, failure)));
	}

	private void writeEvents(AnswerPart first, CallerConnection connection, OutputStream output)
			throws IOException, InterruptedException {
		AnswerPart part = first;
		while (true) {
			writeEvent(part, output);
			output.flush();
			if (part.isFinal()) {
				return;
			}
			part = connection.next();
		}
	}

	private void writeEvent(AnswerPart part, OutputStream output) throws IOException {
		switch (part) {
			case AnswerPart.Accepted accepted -> {
			}
			case AnswerPart.Restarted restarted -> output.write(utf8("event: restart\ndata: {}\n\n"));
			case AnswerPart.Text text -> output
				.write(utf8("id: " + text.toOffset() + "\ndata: " + this.json.chunk(this.request, text) + "\n\n"));
			case AnswerPart.EndOfText end ->
				output.write(utf8("data: " + this.json.lastChunk(this.request, end) + "\n\ndata: [DONE]\n\n"));
			case AnswerPart.Failure failure ->
				output.write(utf8("event: error\ndata: " + this.json.failure(this.request, failure) + "\n\n"));
			case AnswerPart.PlainResponse response -> writeEvent(
					new AnswerPart.Failure(ErrorKind.INTERNAL, "a plain answer to a model request", null), output);
		}
	}

	private void write(int status, String contentType, CallExecution execution, byte[] body) throws IOException {
		Headers headers = headers();
		headers.set("Content-Type", contentType);
		headers.set(CallerHeaders.EXECUTION, execution.headerValue());
		this.exchange.sendResponseHeaders(status, (body.length != 0) ? body.length : -1);
		try (OutputStream output = this.exchange.getResponseBody()) {
			output.write(body);
		}
	}

	private Headers headers() {
		Headers headers = this.exchange.getResponseHeaders();
		headers.set(CallerHeaders.REQUEST_ID, this.request.value());
		return headers;
	}

	// Rounds up, since a caller that retries a fraction of a second early would be
	// rejected again.
	private static long roundUpToSeconds(Duration duration) {
		return Math.max(1, duration.plusMillis(999).toSeconds());
	}

	private static byte[] utf8(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
