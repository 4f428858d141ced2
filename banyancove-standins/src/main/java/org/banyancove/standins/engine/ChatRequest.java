package org.banyancove.standins.engine;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * A chat completion request.
 *
 * @param model the model
 * @param messages the messages
 * @param maxTokens the number of tokens to generate, or {@code null} for the engine's
 * default
 * @param stream whether to stream the response as events
 * @param resume the response to continue, or {@code null}
 */
public record ChatRequest(String model, List<Message> messages, @Nullable Integer maxTokens, boolean stream,
		@Nullable Resume resume) {

	/**
	 * Creates the request.
	 * @throws IllegalArgumentException if there is no model or no message
	 */
	public ChatRequest {
		if (model == null || model.isBlank()) {
			throw new IllegalArgumentException("model must not be blank");
		}
		if (messages == null || messages.isEmpty()) {
			throw new IllegalArgumentException("messages must not be empty");
		}
		messages = List.copyOf(messages);
	}

	/**
	 * Returns the words of all messages, which are the prompt's tokens.
	 * @return the words
	 */
	List<String> promptWords() {
		String text = this.messages.stream().map(Message::content).collect(Collectors.joining(" "));
		return Arrays.stream(text.split("\\s+")).filter((word) -> !word.isEmpty()).toList();
	}

	/**
	 * A chat message.
	 *
	 * @param role the author's role
	 * @param content the text
	 */
	public record Message(String role, String content) {
	}

	/**
	 * A partial response of another engine.
	 *
	 * @param offset the number of generated tokens
	 * @param text the text of these tokens
	 */
	public record Resume(int offset, String text) {
	}

}
