package org.banyancove.core.stream;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters of stream moves and recomputed tokens by kind of move. Confined to the tick
 * thread.
 */
public final class StreamCounters {

	private final Map<StreamMove, Long> moves = new EnumMap<>(StreamMove.class);

	private final Map<StreamMove, Long> recomputedTokens = new EnumMap<>(StreamMove.class);

	private long continuations;

	private long givenUp;

	StreamCounters() {
	}

	/**
	 * Returns the number of moves of a kind.
	 * @param move the kind of move
	 * @return the number of moves
	 */
	public long moves(StreamMove move) {
		return this.moves.getOrDefault(move, 0L);
	}

	/**
	 * Returns the number of prompt and answer tokens recomputed by moves of a kind.
	 * @param move the kind of move
	 * @return the number of tokens
	 */
	public long recomputedTokens(StreamMove move) {
		return this.recomputedTokens.getOrDefault(move, 0L);
	}

	/**
	 * Returns the number of times that an endpoint was requested to continue an answer.
	 * Continuations refused by the endpoint are included, since a counter metric must not
	 * decrease.
	 * @return the number of continuations
	 */
	public long continuations() {
		return this.continuations;
	}

	/**
	 * Returns the number of answers that were given up.
	 * @return the number of answers
	 */
	public long givenUp() {
		return this.givenUp;
	}

	void countContinued() {
		this.continuations++;
	}

	void countMove(StreamMove move, long tokens) {
		this.moves.merge(move, 1L, Long::sum);
		this.recomputedTokens.merge(move, tokens, Long::sum);
	}

	void revertMove(StreamMove move, long tokens) {
		this.moves.merge(move, -1L, Long::sum);
		this.recomputedTokens.merge(move, -tokens, Long::sum);
	}

	void countGivenUp() {
		this.givenUp++;
	}

}
