package org.banyancove.core.answer;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.Invariant;
import org.jspecify.annotations.Nullable;

/**
 * The read position of a caller's connection in an answer. Each connection has its own
 * reader, since a request may move to another entry and back, or be read from a peer,
 * while the caller stays connected. Pieces may then overlap, or begin after a part that
 * the caller has not received.
 * <p>
 * Confined to the entry's tick thread.
 */
public final class AnswerReader {

	private static final long HASH_FACTOR = 1_000_003;

	private boolean nothingDelivered = true;

	private long startOffset;

	private long offset;

	private int characters;

	private long hash;

	/**
	 * Creates a reader.
	 * @param offset the offset after the last token that the caller has received, 0 for a
	 * new caller
	 */
	public AnswerReader(long offset) {
		if (offset < 0) {
			throw new IllegalArgumentException("offset must not be negative: " + offset);
		}
		this.startOffset = offset;
		this.offset = offset;
	}

	/**
	 * Returns the offset from which to read the answer.
	 * @return the offset after the last token that the caller has received
	 */
	public long offset() {
		return this.offset;
	}

	/**
	 * Returns the offset of the first token sent over this connection. Pieces from this
	 * offset can be joined regardless of their boundaries.
	 * @return the offset of the first token
	 */
	public long startOffset() {
		return this.startOffset;
	}

	/**
	 * Accepts pieces and returns those to deliver next over the connection. The first
	 * pieces of a connection may restart at offset 0 if the answer has no boundary at the
	 * caller's offset; the caller then discards the tokens that it has received.
	 * @param pieces the pieces, in order and without gaps, as returned by
	 * {@link AnswerBuffer#readFrom} or sent by a peer
	 * @return the pieces to deliver, or {@code null} if they cannot be joined to the
	 * delivered ones; the connection must then be closed, and the caller reconnects with
	 * its last offset
	 */
	public @Nullable List<Piece> accept(List<Piece> pieces) {
		if (pieces.isEmpty() || pieces.getLast().toOffset() <= this.offset) {
			return List.of();
		}
		long first = pieces.getFirst().fromOffset();
		if (first > this.offset) {
			return List.of();
		}
		if (this.nothingDelivered && first == 0) {
			this.startOffset = 0;
			this.offset = 0;
		}
		List<Piece> delivered = join(pieces);
		if (delivered != null) {
			delivered.forEach(this::advance);
		}
		return delivered;
	}

	private @Nullable List<Piece> join(List<Piece> pieces) {
		List<Piece> joined = new ArrayList<>();
		StringBuilder text = new StringBuilder();
		for (Piece piece : pieces) {
			text.append(piece.text());
			if (piece.fromOffset() >= this.offset) {
				joined.add(piece);
			}
			else if (piece.toOffset() > this.offset) {
				if (pieces.getFirst().fromOffset() != this.startOffset || !startsWithDelivered(text)) {
					return null;
				}
				joined.add(new Piece(piece.attempt(), this.offset, piece.toOffset(), text.substring(this.characters)));
			}
		}
		return joined;
	}

	private boolean startsWithDelivered(CharSequence text) {
		return text.length() >= this.characters && hash(0, text, this.characters) == this.hash;
	}

	private void advance(Piece piece) {
		Invariant.check(piece.fromOffset() == this.offset, "caller at offset %s receives piece at offset %s",
				this.offset, piece.fromOffset());
		this.nothingDelivered = false;
		this.offset = piece.toOffset();
		this.characters += piece.text().length();
		this.hash = hash(this.hash, piece.text(), piece.text().length());
	}

	private static long hash(long seed, CharSequence text, int length) {
		long hash = seed;
		for (int index = 0; index < length; index++) {
			hash = hash * HASH_FACTOR + text.charAt(index) + 1;
		}
		return hash;
	}

}
