package org.banyancove.core.handover;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.Progress;

/**
 * Sends the messages between owners and holders. Messages to unknown peers are dropped.
 */
final class HoldMessages {

	private final Incarnation self;

	private final PeerTable peers;

	private final PeerPort peerPort;

	private final HandoverPort port;

	HoldMessages(Incarnation self, PeerTable peers, PeerPort peerPort, HandoverPort port) {
		this.self = self;
		this.peers = peers;
		this.peerPort = peerPort;
		this.port = port;
	}

	void requestHold(Incarnation to, HeldRequest held, long ownership) {
		send(to, new PeerMessage.HoldRequest(this.self, ownership, held));
	}

	void copyProgress(Incarnation to, RequestId request, long ownership, Progress progress) {
		send(to, new PeerMessage.HoldProgress(this.self, request, ownership, progress));
	}

	void release(Incarnation to, RequestId request, long ownership, long totalOffset, EndOfAnswer end) {
		send(to, new PeerMessage.HoldReleased(this.self, request, ownership, totalOffset, end));
	}

	void drop(Incarnation to, OwnedRequest request) {
		send(to, new PeerMessage.HoldDropped(this.self, request.held.request(), request.ownership()));
	}

	void acknowledge(Incarnation to, RequestId request, long ownership, long nextOffset, boolean held) {
		send(to, new PeerMessage.HoldAcknowledged(this.self, request, ownership, nextOffset, held));
	}

	void handOver(Incarnation to, OwnedRequest request, Progress progress) {
		send(to, new PeerMessage.HandOver(this.self, request.offeredOwnership, request.held, progress));
	}

	void answerHandOver(PeerMessage.HandOver message, long ownership, boolean accepted) {
		send(message.from(),
				new PeerMessage.HandOverAcknowledged(this.self, message.held().request(), ownership, accepted));
	}

	void send(Incarnation to, PeerMessage message) {
		PeerState peer = this.peers.find(to);
		if (peer != null) {
			this.peerPort.send(peer.address(), message);
		}
	}

	Progress progress(OwnedRequest request, long from, int characters) {
		RequestId id = request.held.request();
		AnswerBuffer answer = this.port.answer(id);
		if (answer == null) {
			return Progress.none();
		}
		List<Piece> pieces = new ArrayList<>();
		int total = 0;
		long offset = from;
		for (Piece piece : answer.readFrom(from)) {
			total += piece.text().length();
			if (total > characters) {
				break;
			}
			if (pieces.isEmpty()) {
				offset = piece.fromOffset();
			}
			pieces.add(piece);
		}
		return new Progress(this.port.endpoint(id), answer.attempt(), offset, pieces);
	}

}
