package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.handover.HandoverSystem;
import org.banyancove.core.handover.HoldTable;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.jspecify.annotations.Nullable;

/**
 * Fetches answers from the entries that own them, for callers that reconnected to this
 * entry or whose request was handed over while they waited.
 */
final class AnswerFetchSystem {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

	/**
	 * The maximum duration of a handover, which is acknowledged, or retried at the next
	 * peer, several times within this time.
	 */
	private static final Duration MAXIMUM_HANDOVER_DURATION = Duration.ofMillis(1500);

	/**
	 * The failure of an owner is detected, and its requests are taken over, well within
	 * this time; a caller that receives no tokens for longer should reconnect.
	 */
	private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(30);

	/** The peers of another data center respond well within this time. */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(20);

	private final Incarnation self;

	private final PeerTable peers;

	private final HandoverSystem handover;

	private final HoldTable holds;

	private final PeerPort port;

	private final AnswerSystem answers;

	private final InstantSource clock;

	private final Map<SubscriberId, RemoteAnswer> fetches = new LinkedHashMap<>();

	AnswerFetchSystem(Incarnation self, PeerTable peers, HandoverSystem handover, HoldTable holds, PeerPort port,
			AnswerSystem answers, InstantSource clock) {
		this.self = self;
		this.peers = peers;
		this.handover = handover;
		this.holds = holds;
		this.port = port;
		this.answers = answers;
		this.clock = clock;
	}

	// Starts to fetch an answer that this entry does not have.
	void start(EntryEvent.CallerReturned caller) {
		RemoteAnswer fetch = new RemoteAnswer(caller.subscriber(), caller.request(), caller.account(),
				new AnswerReader(caller.fromOffset()), this.clock.instant());
		this.fetches.put(caller.subscriber(), fetch);
		// A process that has just started knows no peers yet; the next poll sends
		// the request.
		this.handover.findLikelyPeers(caller.request()).forEach((peer) -> sendFetchRequest(fetch, peer));
	}

	// Continues to deliver an answer that another entry owns now.
	void follow(RequestEntity request, Incarnation owner) {
		request.subscribers.forEach((subscriber, reader) -> {
			RemoteAnswer fetch = new RemoteAnswer(subscriber, request.id(), request.call.account(), reader,
					this.clock.instant());
			fetch.owner = owner;
			fetch.accepted = true;
			this.fetches.put(subscriber, fetch);
		});
	}

	void callerLeft(SubscriberId subscriber) {
		this.fetches.remove(subscriber);
	}

	boolean isEmpty() {
		return this.fetches.isEmpty();
	}

	void piecesReceived(PeerMessage.AnswerPieces message) {
		for (RemoteAnswer fetch : new ArrayList<>(this.fetches.values())) {
			if (fetch.request.equals(message.request())) {
				piecesReceived(fetch, message);
			}
		}
	}

	void tick() {
		Instant now = this.clock.instant();
		for (RemoteAnswer fetch : new ArrayList<>(this.fetches.values())) {
			if (this.answers.callerReturned(callerReturnedEvent(fetch), fetch.reader)) {
				this.fetches.remove(fetch.subscriber);
			}
			else if (isUnknown(fetch, now)) {
				this.fetches.remove(fetch.subscriber);
				this.answers.failUnknown(callerReturnedEvent(fetch));
			}
			else if (hasTimedOut(fetch, now) || fetch.progressAt.plus(PROGRESS_TIMEOUT).isBefore(now)) {
				fail(fetch);
			}
			else if (!now.isBefore(fetch.nextPoll)) {
				poll(fetch, now);
			}
		}
	}

	private void piecesReceived(RemoteAnswer fetch, PeerMessage.AnswerPieces message) {
		if (!message.found()) {
			fetch.notFoundAt.add(message.from());
			return;
		}
		fetch.respondedAt = this.clock.instant();
		Incarnation owner = message.owner();
		if (owner != null) {
			fetch.owner = owner;
		}
		if (!fetch.accepted) {
			fetch.accepted = true;
			this.answers.deliver(fetch.subscriber, new AnswerPart.Accepted());
		}
		deliver(fetch, message.pieces());
		EndOfAnswer end = message.end();
		if (end != null && this.fetches.containsKey(fetch.subscriber)) {
			end(fetch, end);
		}
	}

	// Several entries may respond concurrently: a piece that was already delivered
	// is skipped, and one after a gap is requested again.
	private void deliver(RemoteAnswer fetch, List<Piece> pieces) {
		if (!pieces.isEmpty() && pieces.getFirst().fromOffset() <= fetch.reader.offset()) {
			if (!this.answers.deliver(fetch.subscriber, fetch.reader, pieces)) {
				this.fetches.remove(fetch.subscriber);
				this.answers.failNotContiguous(fetch.subscriber);
				return;
			}
			fetch.nextPoll = this.clock.instant();
			fetch.progressAt = this.clock.instant();
		}
	}

	private void end(RemoteAnswer fetch, EndOfAnswer end) {
		this.fetches.remove(fetch.subscriber);
		AnswerPart last = switch (end) {
			case EndOfAnswer.Complete complete ->
				new AnswerPart.EndOfText(fetch.reader.offset(), 0, complete.finishReason());
			case EndOfAnswer.Failed failed ->
				new AnswerPart.Failure(failed.kind(), failed.kind().meaning(), failed.retryAfter());
		};
		this.answers.deliver(fetch.subscriber, last);
	}

	// An entry that does not respond may still own the request, so the request is
	// not reported as unknown.
	private void fail(RemoteAnswer fetch) {
		this.fetches.remove(fetch.subscriber);
		this.answers.deliver(fetch.subscriber, new AnswerPart.Failure(ErrorKind.ANSWER_INCOMPLETE,
				"the entry that owns the request does not answer; come back under its identifier", RESPONSE_TIMEOUT));
	}

	// A known owner may have failed. Its holder takes the request over once the
	// failure is detected, which takes up to eleven seconds if a whole data center
	// failed.
	private static boolean hasTimedOut(RemoteAnswer fetch, Instant now) {
		Duration timeout = fetch.accepted ? TAKEOVER_TIMEOUT : RESPONSE_TIMEOUT;
		return fetch.respondedAt.plus(timeout).isBefore(now);
	}

	// For a moment no entry owns a request that is being handed over, so one round
	// of negative responses is not conclusive.
	private boolean isUnknown(RemoteAnswer fetch, Instant now) {
		return !fetch.accepted && !isHeldHere(fetch) && !fetch.asked.isEmpty()
				&& fetch.notFoundAt.containsAll(fetch.asked)
				&& fetch.respondedAt.plus(MAXIMUM_HANDOVER_DURATION).isBefore(now);
	}

	// This entry holds a copy and takes the request over once its owner is
	// considered failed.
	private boolean isHeldHere(RemoteAnswer fetch) {
		return this.holds.holds(fetch.request);
	}

	private static EntryEvent.CallerReturned callerReturnedEvent(RemoteAnswer fetch) {
		return new EntryEvent.CallerReturned(fetch.subscriber, fetch.request, fetch.account, fetch.reader.offset());
	}

	// Pieces of a copy that this entry holds are delivered from here: an answer
	// that ended just before its owner left exists nowhere else, and an ended
	// request is not taken over by another entry.
	private void poll(RemoteAnswer fetch, Instant now) {
		fetch.nextPoll = now.plus(POLL_INTERVAL);
		if (isHeldHere(fetch)) {
			piecesReceived(fetch, this.handover.answerTo(fetchRequest(fetch)));
		}
		if (!this.fetches.containsKey(fetch.subscriber)) {
			return;
		}
		PeerState owner = (fetch.owner != null) ? this.peers.find(fetch.owner) : null;
		if (owner != null && owner.isLiving()) {
			sendFetchRequest(fetch, owner);
			return;
		}
		this.handover.findLikelyPeers(fetch.request).forEach((peer) -> sendFetchRequest(fetch, peer));
	}

	private void sendFetchRequest(RemoteAnswer fetch, PeerState peer) {
		fetch.asked.add(peer.incarnation());
		this.port.send(peer.address(), fetchRequest(fetch));
	}

	private PeerMessage.FetchAnswer fetchRequest(RemoteAnswer fetch) {
		return new PeerMessage.FetchAnswer(this.self, fetch.request, fetch.account, fetch.reader.offset());
	}

	/**
	 * The state of fetching an answer that another entry owns, for one caller.
	 */
	private static final class RemoteAnswer {

		private final SubscriberId subscriber;

		private final RequestId request;

		private final AccountName account;

		private final AnswerReader reader;

		private final Set<Incarnation> asked = new HashSet<>();

		private final Set<Incarnation> notFoundAt = new HashSet<>();

		private Instant respondedAt;

		private Instant nextPoll;

		private Instant progressAt;

		private boolean accepted;

		private @Nullable Incarnation owner;

		RemoteAnswer(SubscriberId subscriber, RequestId request, AccountName account, AnswerReader reader,
				Instant now) {
			this.subscriber = subscriber;
			this.request = request;
			this.account = account;
			this.reader = reader;
			this.respondedAt = now;
			this.progressAt = now;
			this.nextPoll = now.plus(POLL_INTERVAL);
		}

	}

}
