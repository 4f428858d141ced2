package org.banyancove.standins.engine;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import org.banyancove.standins.support.Json;
import org.jspecify.annotations.Nullable;

/**
 * KV caches imported from other engines, by request. This class is thread-safe.
 */
final class KvStore {

	private static final int MAXIMUM_COPIES = 1_000;

	private final Map<String, KvCopy> copies = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, KvCopy> eldest) {
			return size() > MAXIMUM_COPIES;
		}

	};

	byte[] export(Generation generation) throws IOException {
		return Json.MAPPER.writeValueAsBytes(new KvCopy(generation.text().piece(0), generation.available()));
	}

	synchronized void put(String requestId, byte[] bytes) throws IOException {
		this.copies.put(requestId, Json.MAPPER.readValue(bytes, KvCopy.class));
	}

	/**
	 * Removes the copy for a request and checks that it belongs to the same prompt.
	 * @param requestId the request's identifier
	 * @param text the text for the request's model and messages
	 * @return the offset up to which the prompt and response are computed, or -1 without
	 * a matching copy
	 */
	synchronized int remove(String requestId, TokenText text) {
		@Nullable KvCopy copy = this.copies.remove(requestId);
		return (copy != null && copy.firstToken().equals(text.piece(0))) ? copy.offset() : -1;
	}

	private record KvCopy(String firstToken, int offset) {
	}

}
