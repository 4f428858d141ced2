package org.banyancove.entry.caller;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyancove.core.ServiceName;
import org.banyancove.core.entry.Prompt;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;

/**
 * A request of the chat completions API.
 *
 * @param service the service, named by the field {@code model}
 * @param prompt the properties of the messages that placement uses
 * @param stream whether the caller requests the answer as server-sent events
 */
record ChatRequest(ServiceName service, Prompt prompt, boolean stream) {

	private static final int DEFAULT_MAXIMUM_TOKENS = 256;

	static ChatRequest read(ObjectMapper mapper, byte[] body) {
		JsonNode root = parse(mapper, body);
		String model = root.path("model").asText();
		if (model.isBlank()) {
			throw malformed("field 'model' is missing");
		}
		JsonNode maximum = root.path("max_tokens");
		if (!maximum.isMissingNode() && (!maximum.isInt() || maximum.asInt() < 1)) {
			throw malformed("field 'max_tokens' must be a positive whole number: " + maximum);
		}
		Prompt prompt = Prompt.of(text(root.path("messages")), maximum.asInt(DEFAULT_MAXIMUM_TOKENS));
		return new ChatRequest(new ServiceName(model), prompt, root.path("stream").asBoolean(false));
	}

	private static JsonNode parse(ObjectMapper mapper, byte[] body) {
		try {
			JsonNode root = mapper.readTree(body);
			if (root == null || !root.isObject()) {
				throw malformed("the body must be a JSON object");
			}
			return root;
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST, "the body is not JSON", ex);
		}
	}

	private static String text(JsonNode messages) {
		if (!messages.isArray() || messages.isEmpty()) {
			throw malformed("field 'messages' must be a list of at least one message");
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode message : messages) {
			JsonNode content = message.path("content");
			if (!content.isTextual()) {
				throw malformed("field 'content' of each message must be text");
			}
			text.append(content.asText()).append(' ');
		}
		return text.toString();
	}

	private static BanyancoveException malformed(String message) {
		return new BanyancoveException(ErrorKind.MALFORMED_REQUEST, message);
	}

}
