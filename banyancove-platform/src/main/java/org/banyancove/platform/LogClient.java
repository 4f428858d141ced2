package org.banyancove.platform;

import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * A client of the platform's append-only log. Thread-safe.
 * <p>
 * The JDK's client retries some requests by itself: a read whose connection closes
 * without a response, and any request whose connection could not be opened, so that
 * nothing was sent. It does not retry an append, which is a {@code POST}, unless
 * {@code jdk.httpclient.enableAllMethodRetry} is set. If an intermediary repeats an
 * append nevertheless, the records keep their identifiers, so that readers recognize a
 * duplicate in the stream and count it once.
 */
public final class LogClient {

	private final PlatformConnection connection;

	/**
	 * Creates a client.
	 * @param connection the connection to the platform
	 */
	public LogClient(PlatformConnection connection) {
		this.connection = connection;
	}

	/**
	 * Appends records atomically.
	 * @param stream the stream's name
	 * @param records the records, in order
	 * @return the known outcome of the append; never completes exceptionally
	 */
	public CompletableFuture<AppendResult> append(String stream, List<NewRecord> records) {
		if (records.isEmpty()) {
			throw new IllegalArgumentException("records must not be empty for stream " + stream);
		}
		String body = PlatformResponses.write(new AppendDocument(records));
		return this.connection.send(path(stream), "POST", body, Duration.ZERO).handle(LogClient::result);
	}

	/**
	 * Reads records from a stream.
	 * @param stream the stream's name
	 * @param from the offset of the first record to read
	 * @param limit the maximum number of records
	 * @param wait the maximum time that the platform waits for new records
	 * @return the page; completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
		String query = "?from=" + from + "&limit=" + limit + "&waitMillis=" + wait.toMillis();
		return this.connection.send(path(stream) + query, "GET", null, wait)
			.thenApply((response) -> PlatformResponses.read(response, PageDocument.class).page())
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	private static String path(String stream) {
		return "/log/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
	}

	private static AppendResult result(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
		if (response == null) {
			return new AppendResult.Unanswered(String.valueOf(failure));
		}
		if (PlatformResponses.isRejected(response) || PlatformResponses.isClientError(response)) {
			return new AppendResult.Refused(PlatformResponses.retryAfter(response),
					PlatformResponses.describe(response));
		}
		if (!PlatformResponses.isSuccess(response)) {
			return new AppendResult.Unanswered(PlatformResponses.describe(response));
		}
		try {
			OffsetsDocument offsets = PlatformResponses.read(response, OffsetsDocument.class);
			return new AppendResult.Appended(offsets.firstOffset(), offsets.lastOffset());
		}
		catch (RuntimeException ex) {
			// The response is truncated: the append took effect, but its offsets are
			// unknown.
			return new AppendResult.Unanswered(ex.toString());
		}
	}

	private record AppendDocument(List<NewRecord> records) {

	}

	private record OffsetsDocument(long firstOffset, long lastOffset) {

	}

	private record PageDocument(long firstRetained, long endOffset, List<RecordDocument> records) {

		LogPage page() {
			return new LogPage(this.firstRetained, this.endOffset,
					this.records.stream().map(RecordDocument::logRecord).toList());
		}

	}

	private record RecordDocument(long offset, String id, String data, String appendedAt) {

		LogRecord logRecord() {
			return new LogRecord(this.offset, this.id, this.data, Instant.parse(this.appendedAt));
		}

	}

}
