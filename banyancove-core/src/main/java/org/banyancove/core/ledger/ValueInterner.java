package org.banyancove.core.ledger;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Interns values that many keys have in common, such as names, processes and media types.
 * Each record is decoded into new objects, which would otherwise be retained with its
 * key.
 */
final class ValueInterner {

	private static final int MAXIMUM_SIZE = 4096;

	private final Map<Object, Object> values = new HashMap<>();

	CallKey intern(CallKey key) {
		return new CallKey(intern(key.account()), intern(key.service()), key.key());
	}

	KeyState intern(KeyState state) {
		return new KeyState(intern(state.key()), state.digest(), intern(state.claimant()), state.intentOffset(),
				state.claimOffset(), state.intentAt(), intern(state.window()), state.endedAt(), intern(state.answer()));
	}

	@Nullable StoredAnswer intern(@Nullable StoredAnswer answer) {
		if (answer == null) {
			return null;
		}
		return new StoredAnswer(answer.status(), intern(answer.contentType()), answer.body(), answer.complete());
	}

	// Clearing the map at a size limit bounds its memory if values rarely repeat.
	@SuppressWarnings("unchecked")
	<T> T intern(T value) {
		if (this.values.size() >= MAXIMUM_SIZE) {
			this.values.clear();
		}
		return (T) this.values.computeIfAbsent(value, (missing) -> missing);
	}

}
