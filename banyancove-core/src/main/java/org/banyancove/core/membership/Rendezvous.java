package org.banyancove.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Rendezvous hashing: every process ranks the same candidates for a key in the same
 * order, and adding or removing a candidate moves only that candidate's keys.
 */
public final class Rendezvous {

	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Rendezvous() {
	}

	/**
	 * Ranks candidates for a key.
	 * @param <T> the type of a candidate
	 * @param key the key
	 * @param candidates the candidates
	 * @param name returns a candidate's name
	 * @return the candidates in descending order of their scores
	 */
	public static <T> List<T> rank(String key, List<T> candidates, Function<? super T, String> name) {
		long keyHash = hash(key);
		return candidates.stream()
			.map((candidate) -> new Scored<>(candidate, score(keyHash, name.apply(candidate))))
			.sorted(Comparator.comparingLong((Scored<T> scored) -> scored.score).reversed())
			.map(Scored::candidate)
			.toList();
	}

	/**
	 * Returns the candidate with the highest score for a key.
	 * @param <T> the type of a candidate
	 * @param key the key
	 * @param candidates the candidates
	 * @param name returns a candidate's name
	 * @return the candidate, or {@code null} if there is none
	 */
	public static <T> @Nullable T first(String key, List<T> candidates, Function<? super T, String> name) {
		long keyHash = hash(key);
		T best = null;
		long bestScore = 0;
		for (T candidate : candidates) {
			long score = score(keyHash, name.apply(candidate));
			if (best == null || score > bestScore) {
				best = candidate;
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * Returns a hash of a text that is the same in every process.
	 * @param text the text
	 * @return the hash
	 */
	public static long hash(String text) {
		long hash = FNV_OFFSET_BASIS;
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Mixes the bits of a number so that each input bit affects all output bits.
	 * @param value the number
	 * @return the mixed number
	 */
	public static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

	private static long score(long keyHash, String name) {
		return mix(keyHash ^ hash(name));
	}

	private record Scored<T>(T candidate, long score) {

	}

}
