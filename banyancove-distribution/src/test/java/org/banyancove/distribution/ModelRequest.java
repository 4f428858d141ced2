package org.banyancove.distribution;

import java.util.List;

import org.banyancove.standins.engine.ChatRequest;
import org.banyancove.standins.engine.TokenText;

/**
 * A model request with its expected response.
 *
 * @param service the service name
 * @param prompt the prompt
 * @param tokens the length of the response in tokens
 */
record ModelRequest(String service, String prompt, int tokens) {

	static ModelRequest of(String prompt, int tokens) {
		return new ModelRequest("feed-planning", prompt, tokens);
	}

	String expectedText() {
		return new TokenText(this.service, List.of(new ChatRequest.Message("user", this.prompt))).text(0, this.tokens);
	}

}
