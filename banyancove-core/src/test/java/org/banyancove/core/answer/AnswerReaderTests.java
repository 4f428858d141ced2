package org.banyancove.core.answer;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnswerReader}.
 */
class AnswerReaderTests {

	// Guards against duplicate or missing tokens after a takeover: a caller has read
	// tokens 0 to 2, and the entry fails. The next owner has a copy up to token 1 and
	// reads the engine's stream again with a piece from 1 to 4. The caller must receive
	// only the missing tokens, even if a token is not a complete word.
	@Test
	void piecesWithDifferentBoundariesAreJoinedByText() {
		AnswerReader reader = new AnswerReader(0);
		reader.accept(List.of(piece(0, 2, "salmon pel")));
		assertThat(reader.accept(List.of(piece(1, 4, "pellets by noon")))).isNull();
		assertThat(reader.accept(List.of(piece(0, 1, "salmon "), piece(1, 4, "pellets by noon"))))
			.containsExactly(piece(2, 4, "lets by noon"));
	}

	// A caller reconnects with offset 2 to an entry that has no piece boundary there. The
	// text of the first two tokens is unknown on the new connection, so the answer
	// restarts.
	@Test
	void newConnectionWithoutBoundaryRestarts() {
		AnswerReader reader = new AnswerReader(2);
		List<Piece> pieces = List.of(piece(0, 1, "salmon "), piece(1, 4, "pellets by noon"));
		assertThat(reader.accept(pieces)).isEqualTo(pieces);
		assertThat(reader.offset()).isEqualTo(4);
	}

	// Guards against joining different texts: two entries own the request during a
	// network partition, and the second one has a different text. It must not continue
	// the text that the caller has received.
	@Test
	void differentTextIsNotJoined() {
		AnswerReader reader = new AnswerReader(0);
		reader.accept(List.of(piece(0, 2, "salmon pellets")));
		assertThat(reader.accept(List.of(piece(0, 3, "mussel ropes at noon")))).isNull();
		assertThat(reader.offset()).isEqualTo(2);
	}

	private static Piece piece(long from, long to, String text) {
		return new Piece(1, from, to, text);
	}

}
