package org.banyancove.core.peer;

import java.util.List;

import org.banyancove.core.EndpointId;
import org.banyancove.core.answer.Piece;
import org.jspecify.annotations.Nullable;

/**
 * A part of an answer with the endpoint that generates it. The pieces retain their
 * bounds, so that a caller can resume from any event that it has received.
 *
 * @param endpoint the endpoint that generates the answer, or {@code null} if there is
 * none
 * @param attempt the number of the current attempt
 * @param fromOffset the offset of the first token
 * @param pieces the pieces, in order without a gap
 */
public record Progress(@Nullable EndpointId endpoint, int attempt, long fromOffset, List<Piece> pieces) {

	/**
	 * Creates the progress with an immutable copy of the pieces.
	 * @throws IllegalArgumentException if a number is negative or there is a gap
	 */
	public Progress {
		if (attempt < 0 || fromOffset < 0) {
			throw new IllegalArgumentException(
					"attempt and fromOffset must not be negative: " + attempt + ", " + fromOffset);
		}
		pieces = List.copyOf(pieces);
		long expected = fromOffset;
		for (Piece piece : pieces) {
			if (piece.fromOffset() != expected) {
				throw new IllegalArgumentException(
						"pieces must be contiguous: expected offset " + expected + ", got " + piece.fromOffset());
			}
			expected = piece.toOffset();
		}
	}

	/**
	 * Returns the progress of a request without a token.
	 * @return the empty progress
	 */
	public static Progress none() {
		return new Progress(null, 0, 0, List.of());
	}

	/**
	 * Returns the offset after the last token.
	 * @return the offset
	 */
	public long toOffset() {
		if (this.pieces.isEmpty()) {
			return this.fromOffset;
		}
		return this.pieces.getLast().toOffset();
	}

}
