package org.banyancove.core.answer;

/**
 * A piece of an answer, as streamed by an endpoint.
 *
 * @param attempt the number of the attempt
 * @param fromOffset the offset of its first token
 * @param toOffset the offset after its last token
 * @param text the text of its tokens
 */
public record Piece(int attempt, long fromOffset, long toOffset, String text) {

	/**
	 * Creates the piece.
	 * @throws IllegalArgumentException if the piece has no token, or if the attempt or an
	 * offset is negative
	 */
	public Piece {
		if (attempt < 0) {
			throw new IllegalArgumentException("attempt must not be negative: " + attempt);
		}
		if (fromOffset < 0 || toOffset <= fromOffset) {
			throw new IllegalArgumentException("toOffset must be above fromOffset: " + fromOffset + " to " + toOffset);
		}
	}

}
