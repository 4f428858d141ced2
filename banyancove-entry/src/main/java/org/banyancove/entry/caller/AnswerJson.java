package org.banyancove.entry.caller;

import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.AnswerPart;

/**
 * Writes answers as JSON in the format of the chat completions API.
 */
final class AnswerJson {

	private final ObjectMapper mapper;

	AnswerJson(ObjectMapper mapper) {
		this.mapper = mapper;
	}

	String failure(RequestId request, AnswerPart.Failure failure) {
		ObjectNode root = this.mapper.createObjectNode();
		ObjectNode error = root.putObject("error");
		error.put("code", failure.kind().code());
		error.put("message", failure.detail());
		error.put("request_id", request.value());
		error.put("execution", failure.execution().headerValue());
		Duration retryAfter = failure.retryAfter();
		if (retryAfter != null) {
			error.put("retry_after_ms", retryAfter.toMillis());
		}
		return write(root);
	}

	String chunk(RequestId request, AnswerPart.Text text) {
		ObjectNode root = chunk(request);
		ObjectNode choice = root.withArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("delta").put("content", text.text());
		choice.putNull("finish_reason");
		return write(root);
	}

	String lastChunk(RequestId request, AnswerPart.EndOfText end) {
		ObjectNode root = chunk(request);
		ObjectNode choice = root.withArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("delta");
		choice.put("finish_reason", end.finishReason());
		addUsage(root, end);
		return write(root);
	}

	String completion(RequestId request, String text, AnswerPart.EndOfText end) {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("id", request.value());
		root.put("object", "chat.completion");
		ObjectNode choice = root.withArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", text);
		choice.put("finish_reason", end.finishReason());
		addUsage(root, end);
		return write(root);
	}

	private ObjectNode chunk(RequestId request) {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("id", request.value());
		root.put("object", "chat.completion.chunk");
		return root;
	}

	private void addUsage(ObjectNode root, AnswerPart.EndOfText end) {
		ObjectNode usage = root.putObject("usage");
		usage.put("prompt_tokens", end.promptTokens());
		usage.put("completion_tokens", end.tokens());
		usage.put("total_tokens", end.promptTokens() + end.tokens());
	}

	private String write(ObjectNode root) {
		try {
			return this.mapper.writeValueAsString(root);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A JSON tree of strings and numbers must be serializable", ex);
		}
	}

}
