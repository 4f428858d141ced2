package org.banyancove.core.handover;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.peer.PeerMessage;

/**
 * Looks up answers for entries to which a caller has reconnected.
 */
final class AnswerLookup {

	private final Incarnation self;

	private final HoldTable table;

	private final FormerRequestTable formerRequests;

	private final HandoverPort port;

	private final int maximumCharacters;

	AnswerLookup(Incarnation self, HoldTable table, FormerRequestTable formerRequests, HandoverPort port,
			int maximumCharacters) {
		this.self = self;
		this.table = table;
		this.formerRequests = formerRequests;
		this.port = port;
		this.maximumCharacters = maximumCharacters;
	}

	/**
	 * Returns the available part of a request's answer, as its owner, holder or former
	 * owner.
	 * @param message the query
	 * @return the pieces; reported as not found to another account
	 */
	PeerMessage.AnswerPieces answerTo(PeerMessage.FetchAnswer message) {
		RequestId id = message.request();
		AccountName account = null;
		AnswerBuffer answer = this.port.answer(id);
		Incarnation owner = null;
		OwnedRequest request = this.table.owned(id);
		HeldCopy copy = this.table.held(id);
		FormerRequestTable.FormerRequest former = this.formerRequests.find(id);
		if (request != null) {
			account = request.held.account();
			owner = this.self;
		}
		else if (copy != null) {
			account = copy.held.account();
			owner = copy.owner();
			answer = copy.answer;
		}
		else if (former != null) {
			account = former.account();
			owner = former.owner();
		}
		if (!message.account().equals(account)) {
			// The existence of another account's request must not be revealed.
			return new PeerMessage.AnswerPieces(this.self, id, false, null, List.of(), null);
		}
		List<Piece> pieces = List.of();
		EndOfAnswer end = null;
		if (answer != null) {
			pieces = limited(answer.readFrom(message.fromOffset()));
			if (pieces.isEmpty() || pieces.getLast().toOffset() == answer.nextOffset()) {
				end = answer.end();
			}
		}
		return new PeerMessage.AnswerPieces(this.self, id, true, owner, pieces, end);
	}

	private List<Piece> limited(List<Piece> pieces) {
		List<Piece> result = new ArrayList<>();
		long total = 0;
		for (Piece piece : pieces) {
			total += piece.text().length();
			if (total > this.maximumCharacters && !result.isEmpty()) {
				break;
			}
			result.add(piece);
		}
		return result;
	}

}
