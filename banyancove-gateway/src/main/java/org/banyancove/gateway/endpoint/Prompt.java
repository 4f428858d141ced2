package org.banyancove.gateway.endpoint;

import java.util.List;

/**
 * What a request states of its prompt.
 *
 * @param parts its parts in order; the last one belongs to the request alone
 * @param tokensIn the tokens of the prompt
 * @param mostTokensOut the most tokens that are generated
 */
public record Prompt(List<PromptPart> parts, int tokensIn, int mostTokensOut) {

	/** The prompt of a request that states nothing of it. */
	public static final Prompt NONE = new Prompt(List.of(), 0, 0);

	/**
	 * Creates the prompt.
	 */
	public Prompt {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the tokens in and out, by which a client account is charged.
	 * @return the tokens, 0 if the request states none
	 */
	public long totalTokens() {
		return (long) this.tokensIn + this.mostTokensOut;
	}

	/**
	 * Returns the last part that other requests may share.
	 * @return the part's identifier, 0 if there is none
	 */
	long sharedKey() {
		return (this.parts.size() < 2) ? 0 : this.parts.get(this.parts.size() - 2).id();
	}

	/**
	 * Returns the tokens of the parts that other requests may share.
	 * @return the tokens
	 */
	int sharedTokens() {
		return this.parts.stream().limit(Math.max(0, this.parts.size() - 1)).mapToInt(PromptPart::tokens).sum();
	}

}
