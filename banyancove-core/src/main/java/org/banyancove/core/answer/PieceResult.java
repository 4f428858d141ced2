package org.banyancove.core.answer;

import java.util.List;

/**
 * The result of accepting a piece.
 */
public sealed interface PieceResult {

	/**
	 * The piece continues the answer.
	 *
	 * @param pieces the pieces that can be delivered, in order and without gaps
	 */
	record Accepted(List<Piece> pieces) implements PieceResult {

		public Accepted {
			pieces = List.copyOf(pieces);
		}

	}

	/**
	 * The piece contains no new token.
	 */
	record Duplicate() implements PieceResult {

	}

	/**
	 * Preceding tokens are missing, or a piece that overlaps the received tokens cannot
	 * be split. A piece after the missing tokens is buffered within bounds.
	 *
	 * @param expectedOffset the offset of the first missing token
	 */
	record Gap(long expectedOffset) implements PieceResult {

	}

	/**
	 * The piece belongs to a replaced attempt, or the answer has ended.
	 */
	record Stale() implements PieceResult {

	}

}
