package org.banyancove.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.endpoint.Prompt;

/**
 * The keys under which it is remembered that endpoints ended while they had a request.
 *
 * @param content the fingerprint that copies of the request have in common
 * @param parts the keys of the parts of its prompt that other requests may share
 */
public record SuspectKeys(Fingerprint content, List<Fingerprint> parts) {

	/** Tells the key of a part from the fingerprint of a request. */
	private static final long PART_MARK = 0x7072_6f6d_7074_2e70L;

	/**
	 * Creates the keys.
	 */
	public SuspectKeys {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the keys of a request.
	 * @param content the fingerprint that copies of the request have in common
	 * @param prompt the request's prompt
	 * @return the keys
	 */
	public static SuspectKeys of(Fingerprint content, Prompt prompt) {
		return new SuspectKeys(content, prompt.sharedPartIds().stream().map(SuspectKeys::ofPart).toList());
	}

	/**
	 * Returns the key of a part, which doesn't depend on the request that lists it.
	 * @param id the part's identifier
	 * @return the key
	 */
	public static Fingerprint ofPart(long id) {
		return new Fingerprint(PART_MARK, id);
	}

	/**
	 * Returns whether a key is that of a part.
	 * @param key the key
	 * @return {@code false} if it is the fingerprint of a request
	 */
	public static boolean isPart(Fingerprint key) {
		return key.high() == PART_MARK;
	}

	/**
	 * Returns all keys.
	 * @return the keys of the content and of the parts
	 */
	List<Fingerprint> all() {
		List<Fingerprint> all = new ArrayList<>(this.parts);
		all.add(this.content);
		return all;
	}

}
