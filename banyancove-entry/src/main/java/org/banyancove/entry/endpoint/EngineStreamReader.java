package org.banyancove.entry.endpoint;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyancove.core.entry.AttemptResult;
import org.jspecify.annotations.Nullable;

/**
 * Reads the server-sent events of one token stream of an engine.
 */
final class EngineStreamReader {

	/** Maximum length of one line of a stream, in characters. */
	static final int MAXIMUM_LINE_CHARACTERS = 1 << 20;

	private static final String ID_PREFIX = "id:";

	private static final String DATA_PREFIX = "data:";

	private static final String DONE_MARKER = "[DONE]";

	private final ObjectMapper mapper;

	private long offset;

	private long lastEventId;

	private long recomputedTokens;

	private @Nullable String finishReason;

	EngineStreamReader(ObjectMapper mapper, long fromOffset) {
		this.mapper = mapper;
		this.offset = fromOffset;
	}

	/**
	 * Reads the stream to its end.
	 * @param input the response body
	 * @param pieces receives each piece as it arrives
	 * @return the result; {@link AttemptResult.Broken} if the stream ends before its last
	 * event
	 */
	AttemptResult read(InputStream input, PieceListener pieces) throws IOException {
		BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
		for (String line = readLine(reader); line != null; line = readLine(reader)) {
			if (line.startsWith(ID_PREFIX)) {
				this.lastEventId = parseId(line.substring(ID_PREFIX.length()).strip());
			}
			else if (line.startsWith(DATA_PREFIX)) {
				String data = line.substring(DATA_PREFIX.length()).strip();
				if (data.equals(DONE_MARKER)) {
					return endOfStream();
				}
				handleEvent(this.mapper.readTree(data), pieces);
			}
		}
		return new AttemptResult.Broken("the stream stopped at token " + this.offset + " without an end");
	}

	// Returns the next line, which ends at a line feed, or null at the end of the stream.
	private static @Nullable String readLine(Reader reader) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = reader.read(); next >= 0; next = reader.read()) {
			if (next == '\n') {
				return line.toString();
			}
			if (line.length() == MAXIMUM_LINE_CHARACTERS) {
				throw new IOException("a line of the stream has more than " + MAXIMUM_LINE_CHARACTERS + " characters");
			}
			line.append((char) next);
		}
		return line.isEmpty() ? null : line.toString();
	}

	private static long parseId(String text) throws IOException {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new IOException("the id of an event is not an offset", ex);
		}
	}

	private void handleEvent(JsonNode data, PieceListener pieces) {
		JsonNode choice = data.path("choices").path(0);
		String text = choice.path("delta").path("content").asText("");
		if (!text.isEmpty()) {
			long tokens = countTokens(text);
			pieces.onPiece(this.lastEventId - tokens, this.lastEventId, text);
			this.offset = this.lastEventId;
		}
		if (choice.path("finish_reason").isTextual()) {
			this.finishReason = choice.path("finish_reason").asText();
		}
		this.recomputedTokens += data.path("usage").path("recomputed_tokens").asLong(0);
	}

	private AttemptResult endOfStream() {
		String reason = this.finishReason;
		if (reason == null) {
			return new AttemptResult.Broken("the stream ended at token " + this.offset + " without a reason");
		}
		return new AttemptResult.StreamEnded(this.offset, reason, this.recomputedTokens);
	}

	// Counts words, since engines send complete tokens of one word each.
	private static long countTokens(String text) {
		return text.strip().split("\\s+").length;
	}

}
