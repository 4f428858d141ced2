package org.banyancove.standins.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyancove.standins.engine.ChatRequest;
import org.banyancove.standins.engine.TokenText;
import org.banyancove.standins.support.Json;

/**
 * Sends planned requests to one side and validates the responses. This class is
 * thread-safe.
 */
final class LoadCaller implements AutoCloseable {

	private static final String DATA_FIELD = "data: ";

	private static final String END_OF_STREAM = "[DONE]";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.executor(Executors.newVirtualThreadPerTaskExecutor())
		.build();

	private final ScheduledExecutorService deadlines = Executors.newSingleThreadScheduledExecutor();

	private final LoadOptions options;

	private final LoadOptions.Side side;

	private final boolean withCredentials;

	LoadCaller(LoadOptions options, LoadOptions.Side side, boolean withCredentials) {
		this.options = options;
		this.side = side;
		this.withCredentials = withCredentials;
	}

	/**
	 * Sends a request and reads its response.
	 * @param planned the request
	 * @param startNanos the {@link System#nanoTime()} at which the request was due, so
	 * that the measured times include any queueing delay
	 * @return the result
	 * @throws InterruptedException if the load is stopped
	 */
	CallResult call(PlannedRequest planned, long startNanos) throws InterruptedException {
		ResponseTimer timer = new ResponseTimer(startNanos);
		try {
			HttpResponse<InputStream> response = this.client.send(request(planned),
					HttpResponse.BodyHandlers.ofInputStream());
			try (InputStream body = response.body()) {
				ScheduledFuture<?> deadline = this.deadlines.schedule(() -> close(body),
						this.options.volume().timeout().toMillis(), TimeUnit.MILLISECONDS);
				String outcome = read(planned, response, body, timer);
				deadline.cancel(false);
				return timer.result(outcome);
			}
		}
		catch (IOException ex) {
			return timer.result(ex.getClass().getSimpleName());
		}
	}

	@Override
	public void close() {
		this.deadlines.shutdownNow();
		this.client.shutdownNow();
	}

	private HttpRequest request(PlannedRequest planned) throws IOException {
		boolean chat = planned.kind() == PlannedRequest.Kind.CHAT;
		URI uri = chat ? this.side.chatBase().resolve("/v1/chat/completions")
				: this.side.callBase().resolve(this.side.callPath());
		byte[] body = chat ? Json.CHAT_MAPPER.writeValueAsBytes(chat(planned))
				: Json.MAPPER.writeValueAsBytes(new Booking("booking " + planned.index()));
		HttpRequest.Builder builder = HttpRequest.newBuilder(uri)
			.timeout(this.options.volume().timeout())
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofByteArray(body));
		if (!chat && this.options.calls().keyed()) {
			builder.header("Idempotency-Key", this.options.calls().keyPrefix() + planned.index());
		}
		if (this.withCredentials && planned.credential() != null) {
			builder.header("Authorization", "Bearer " + planned.credential());
		}
		return builder.build();
	}

	private ChatRequest chat(PlannedRequest planned) {
		return new ChatRequest(this.side.model(), planned.messages(), this.options.chats().maxTokens(),
				planned.streamed(), null);
	}

	private String read(PlannedRequest planned, HttpResponse<InputStream> response, InputStream body,
			ResponseTimer timer) throws IOException {
		if (response.statusCode() != 200) {
			body.readAllBytes();
			return errorOutcome(response);
		}
		if (planned.kind() == PlannedRequest.Kind.CALL) {
			timer.firstByte();
			return (body.readAllBytes().length > 0) ? CallResult.SUCCESS : CallResult.INCOMPLETE;
		}
		String text = planned.streamed() ? readEvents(body, timer) : readUnstreamed(body, timer);
		String model = this.options.chats().answerModel();
		if (text.endsWith(END_OF_STREAM)) {
			String expected = new TokenText(model, planned.messages()).text(0, this.options.chats().maxTokens());
			return (model.isEmpty() || text.equals(expected + END_OF_STREAM)) ? CallResult.SUCCESS
					: CallResult.INCORRECT;
		}
		return CallResult.INCOMPLETE;
	}

	private static String readEvents(InputStream body, ResponseTimer timer) throws IOException {
		StringBuilder text = new StringBuilder();
		BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
		for (String line = lines.readLine(); line != null; line = lines.readLine()) {
			if (!line.startsWith(DATA_FIELD)) {
				continue;
			}
			timer.firstByte();
			String data = line.substring(DATA_FIELD.length());
			text.append(data.equals(END_OF_STREAM) ? END_OF_STREAM : content(data, "delta"));
		}
		return text.toString();
	}

	private static String readUnstreamed(InputStream body, ResponseTimer timer) throws IOException {
		String json = new String(body.readAllBytes(), StandardCharsets.UTF_8);
		timer.firstByte();
		return content(json, "message") + END_OF_STREAM;
	}

	private static String content(String json, String field) throws IOException {
		JsonNode response = Json.MAPPER.readTree(json);
		return response.path("choices").path(0).path(field).path("content").asText();
	}

	private static String errorOutcome(HttpResponse<?> response) {
		int status = response.statusCode();
		String code = response.headers().firstValue("X-Error-Code").map((value) -> " " + value).orElse("");
		boolean retryable = status == 429 || status == 503;
		boolean hasRetryAfter = response.headers().firstValue("Retry-After").isPresent();
		return status + code + ((retryable && !hasRetryAfter) ? " without Retry-After" : "");
	}

	private static void close(InputStream body) {
		try {
			body.close();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Failed to close the response body", ex);
		}
	}

	private record Booking(String note) {
	}

	private static final class ResponseTimer {

		private final long startNanos;

		private long firstByte;

		ResponseTimer(long startNanos) {
			this.startNanos = startNanos;
		}

		void firstByte() {
			if (this.firstByte == 0) {
				this.firstByte = System.nanoTime();
			}
		}

		CallResult result(String outcome) {
			long ended = System.nanoTime();
			long first = (this.firstByte != 0) ? this.firstByte : ended;
			return new CallResult(outcome, Duration.ofNanos(first - this.startNanos),
					Duration.ofNanos(ended - this.startNanos));
		}

	}

}
