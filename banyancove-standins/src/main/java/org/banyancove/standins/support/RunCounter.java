package org.banyancove.standins.support;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the runs of a stand-in by key and body digest. Tests compare the system's
 * responses with these counts.
 */
public final class RunCounter {

	private static final int DIGEST_LENGTH = 16;

	private final Map<RunKey, Integer> counts = new ConcurrentHashMap<>();

	/**
	 * Counts a run.
	 * @param key the idempotency key or request identifier, empty if there was none
	 * @param body the body
	 * @return the number of runs of this key and body, including this one
	 */
	public int count(String key, byte[] body) {
		return this.counts.merge(new RunKey(key, Digests.hex(body, DIGEST_LENGTH)), 1, Integer::sum);
	}

	/**
	 * Returns the number of runs of a key with any body.
	 * @param key the key
	 * @return the number of runs
	 */
	public int runsOf(String key) {
		return runs().stream().filter((run) -> run.key().equals(key)).mapToInt(Run::count).sum();
	}

	/**
	 * Returns the runs of all keys.
	 * @return the runs, in no particular order
	 */
	public List<Run> runs() {
		return this.counts.entrySet()
			.stream()
			.map((entry) -> new Run(entry.getKey().key(), entry.getKey().digest(), entry.getValue()))
			.toList();
	}

	/**
	 * Returns the digest by which a body is counted.
	 * @param body the body's text
	 * @return the digest
	 */
	public static String digestOf(String body) {
		return Digests.hex(body.getBytes(StandardCharsets.UTF_8), DIGEST_LENGTH);
	}

	/**
	 * The number of runs of one key and body.
	 *
	 * @param key the key, empty if there was none
	 * @param digest the first 16 hexadecimal digits of the body's SHA-256
	 * @param count the number of runs
	 */
	public record Run(String key, String digest, int count) {
	}

	private record RunKey(String key, String digest) {
	}

}
