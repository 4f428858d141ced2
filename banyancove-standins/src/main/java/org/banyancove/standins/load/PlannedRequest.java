package org.banyancove.standins.load;

import java.util.List;

import org.banyancove.standins.engine.ChatRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request to be sent to both sides.
 *
 * @param index the index in the load
 * @param streamed whether a chat is streamed
 * @param messages a chat's messages, empty for a plain call
 * @param credential the account's credential, or {@code null}
 * @param directFirst whether the stand-in is called before the system
 */
record PlannedRequest(int index, boolean streamed, List<ChatRequest.Message> messages, @Nullable String credential,
		boolean directFirst) {

	Kind kind() {
		return this.messages.isEmpty() ? Kind.CALL : Kind.CHAT;
	}

	/**
	 * The kind of a request. Kinds are measured separately.
	 */
	enum Kind {

		CHAT, CALL

	}

}
