package org.banyancove.gateway.endpoint;

import java.util.List;

/**
 * The parts and token counts of a request's prompt, as stated in its headers.
 *
 * @param parts the parts in order; the last one is not shared with other requests
 * @param inputTokens the number of prompt tokens
 * @param maximumOutputTokens the maximum number of output tokens
 */
public record Prompt(List<PromptPart> parts, int inputTokens, int maximumOutputTokens) {

	/** The prompt of a request whose headers do not describe one. */
	public static final Prompt NONE = new Prompt(List.of(), 0, 0);

	/** Bounds the work for a caller that lists thousands of parts. */
	private static final int MAXIMUM_SHARED_PARTS = 64;

	/**
	 * Creates the prompt.
	 */
	public Prompt {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the prompt and output tokens, which count towards the client account's
	 * quota.
	 * @return the number of tokens, 0 if the request states none
	 */
	public long totalTokens() {
		return (long) this.inputTokens + this.maximumOutputTokens;
	}

	/**
	 * Returns the identifiers of the parts that other requests may share, each once.
	 * @return the first {@value #MAXIMUM_SHARED_PARTS} of them
	 */
	public List<Long> sharedPartIds() {
		return this.parts.stream()
			.limit(Math.max(0, this.parts.size() - 1))
			.map(PromptPart::id)
			.distinct()
			.limit(MAXIMUM_SHARED_PARTS)
			.toList();
	}

	/**
	 * Returns the identifier of the last part that other requests may share.
	 * @return the part's identifier, 0 if there is none
	 */
	long lastSharedPartId() {
		return (this.parts.size() < 2) ? 0 : this.parts.get(this.parts.size() - 2).id();
	}

	/**
	 * Returns the tokens of the parts that other requests may share.
	 * @return the number of tokens
	 */
	int sharedTokens() {
		int tokens = 0;
		for (int i = 0; i < this.parts.size() - 1; i++) {
			tokens += this.parts.get(i).tokens();
		}
		return tokens;
	}

}
