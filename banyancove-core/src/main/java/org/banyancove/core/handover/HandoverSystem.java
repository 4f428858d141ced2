package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;

/**
 * Preserves accepted requests when entries fail or leave. A second entry holds a copy of
 * each request, takes the request over if its owner fails, and receives it when its owner
 * leaves. Confined to the entry's tick thread.
 * <p>
 * Each owner of a request has an ownership number, which increases with each change of
 * owner. An owner that resumes after a pause learns a higher number from its holder and
 * gives up the request.
 */
public final class HandoverSystem {

	private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

	private final Incarnation self;

	private final PeerTable peers;

	private final HoldTable table;

	private final FormerRequestTable formerRequests;

	private final InstantSource clock;

	private final HolderRanking ranking;

	private final HandoverCounters counters = new HandoverCounters();

	private final HoldMessages messages;

	private final OwnerSystem owner;

	private final HolderSystem holder;

	private final AnswerLookup lookup;

	private Instant nextSweep;

	private boolean stopping;

	/**
	 * Creates the system.
	 * @param self this process
	 * @param peers the peers
	 * @param table the table of owned and held requests
	 * @param clock the clock
	 * @param settings the settings
	 * @param peerPort sends messages
	 * @param port the port to the enclosing entry
	 */
	public HandoverSystem(PeerState self, PeerTable peers, HoldTable table, InstantSource clock,
			HandoverSettings settings, PeerPort peerPort, HandoverPort port) {
		this.self = self.incarnation();
		this.peers = peers;
		this.table = table;
		this.clock = clock;
		this.ranking = new HolderRanking(self, peers, settings);
		this.formerRequests = new FormerRequestTable(clock, settings.keepEnded());
		this.messages = new HoldMessages(this.self, peers, peerPort, port);
		this.owner = new OwnerSystem(this.self, peers, table, this.formerRequests, clock, settings, this.messages, port,
				this.ranking, this.counters);
		this.holder = new HolderSystem(table, this.messages, clock, settings);
		this.lookup = new AnswerLookup(this.self, table, this.formerRequests, port, settings.progressCharacters());
		this.nextSweep = clock.instant();
	}

	/**
	 * Requests a peer to hold a new request. {@link HandoverPort#accepted} is called
	 * afterwards, or immediately if there is no peer.
	 * @param held the request
	 * @throws BanyancoveException with {@link ErrorKind#STOPPING} if this process does
	 * not accept new work
	 * @throws IllegalArgumentException if the request is already owned or held
	 */
	public void offer(HeldRequest held) {
		if (this.stopping) {
			throw new BanyancoveException(ErrorKind.STOPPING, "No new work is taken: " + held.request());
		}
		if (this.table.owns(held.request()) || this.table.holds(held.request())) {
			throw new IllegalArgumentException("request must be new: " + held.request());
		}
		this.owner.begin(held);
	}

	/**
	 * Reports that an owned request has ended.
	 * @param id the request
	 * @param totalOffset the offset after the answer's last token
	 * @param end the end of the answer
	 */
	public void ended(RequestId id, long totalOffset, EndOfAnswer end) {
		OwnedRequest request = this.table.owned(id);
		if (request == null || request.end != null) {
			return;
		}
		this.owner.end(request, totalOffset, end);
	}

	/**
	 * Handles expired timers and removes expired entries.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		this.owner.tick(now);
		if (now.isBefore(this.nextSweep)) {
			return;
		}
		this.nextSweep = now.plus(SWEEP_INTERVAL);
		if (this.owner.isHandingOver()) {
			takeOverFromSuspected();
		}
		this.formerRequests.removeExpired(now);
		this.owner.removeExpired(now);
		this.holder.removeExpired(now);
	}

	/**
	 * Handles a message.
	 * @param message the message
	 * @return {@code true} if the message concerns holding or handover
	 */
	public boolean receive(PeerMessage message) {
		switch (message) {
			case PeerMessage.HoldRequest request -> receiveHoldRequest(request);
			case PeerMessage.HoldAcknowledged answer -> this.owner.acknowledged(answer);
			case PeerMessage.HoldProgress progress -> receiveHoldProgress(progress);
			case PeerMessage.HoldReleased released -> receiveHoldReleased(released);
			case PeerMessage.HoldDropped dropped -> this.holder.receive(dropped);
			case PeerMessage.HandOver handOver -> receiveHandOver(handOver);
			case PeerMessage.HandOverAcknowledged answer -> this.owner.handOverAnswered(answer);
			case PeerMessage.FetchAnswer fetch -> this.messages.send(fetch.from(), answerTo(fetch));
			default -> {
				return false;
			}
		}
		return true;
	}

	/**
	 * Hands over all requests before this process is reclaimed.
	 * @param wholeDataCenter whether the entire data center is leaving
	 */
	public void handOverAll(boolean wholeDataCenter) {
		this.stopping = true;
		this.owner.handOverAll(wholeDataCenter);
	}

	/**
	 * Stops accepting new requests; running requests continue.
	 */
	public void beginStop() {
		this.stopping = true;
	}

	/**
	 * Returns whether new requests are refused.
	 * @return {@code true} if this process is stopping
	 */
	public boolean isStopping() {
		return this.stopping;
	}

	/**
	 * Returns whether this process can stop without interrupting a request.
	 * @return {@code true} if it is stopping and owns no request
	 */
	public boolean canStop() {
		return this.stopping && this.table.ownedCount() == 0;
	}

	/**
	 * Takes over the requests of a failed owner and replaces the process as holder.
	 * @param peer the failed process
	 */
	public void died(PeerState peer) {
		for (RequestId id : this.table.heldFor(peer.incarnation())) {
			HeldCopy copy = this.table.held(id);
			if (copy != null) {
				takeOverFromFailed(copy);
			}
		}
		this.owner.replaceAsHolder(peer);
	}

	/**
	 * Requests a newly joined process to hold the requests without a holder. Waiting for
	 * the next copy of the progress would leave a request without a holder for seconds,
	 * and lose it if its owner fails.
	 * @param peer the process
	 */
	public void joined(PeerState peer) {
		if (!peer.incarnation().equals(this.self)) {
			this.owner.findMissingHolders();
		}
	}

	/**
	 * Replaces a leaving process as holder.
	 * @param peer the leaving process
	 */
	public void leaving(PeerState peer) {
		if (!peer.incarnation().equals(this.self)) {
			this.owner.replaceAsHolder(peer);
		}
	}

	/**
	 * Returns the peers that probably own or hold a request whose caller reconnected to
	 * this process.
	 * @param request the request
	 * @return the peers to ask with {@link PeerMessage.FetchAnswer}
	 */
	public List<PeerState> findLikelyPeers(RequestId request) {
		return this.ranking.probablyKnow(request);
	}

	/**
	 * Returns the available part of a request's answer, as its owner, holder or former
	 * owner.
	 * @param message the query
	 * @return the pieces; reported as not found to another account
	 */
	public PeerMessage.AnswerPieces answerTo(PeerMessage.FetchAnswer message) {
		return this.lookup.answerTo(message);
	}

	/**
	 * Returns the counts.
	 * @return the counts
	 */
	public HandoverCounters counters() {
		return this.counters;
	}

	// Notifies a process that considers itself the owner of a request if a higher
	// ownership number is known. If its number is higher, this process gives up the
	// request instead.
	private boolean rejectsOwner(RequestId id, long ownership, Incarnation from) {
		OwnedRequest request = this.table.owned(id);
		if (request != null && request.ownership() < ownership) {
			this.owner.loseOwnership(request, from, ownership);
		}
		long known = highestOwnership(id);
		if (known > ownership) {
			this.messages.acknowledge(from, id, known, 0, false);
			return true;
		}
		return this.table.owns(id);
	}

	private long highestOwnership(RequestId id) {
		OwnedRequest request = this.table.owned(id);
		if (request != null) {
			return request.ownership();
		}
		HeldCopy copy = this.table.held(id);
		long number = (copy != null) ? copy.ownership() : 0;
		FormerRequestTable.FormerRequest former = this.formerRequests.find(id);
		return (former != null) ? Math.max(number, former.ownership()) : number;
	}

	private void receiveHandOver(PeerMessage.HandOver message) {
		RequestId id = message.held().request();
		OwnedRequest ownedRequest = this.table.owned(id);
		long known = highestOwnership(id);
		if (ownedRequest != null && known < message.ownership()) {
			this.owner.raiseOwnership(ownedRequest, message.ownership());
			this.messages.answerHandOver(message, message.ownership(), true);
			return;
		}
		if (known >= message.ownership()) {
			this.messages.answerHandOver(message, known, known == message.ownership());
			return;
		}
		if (this.stopping) {
			this.messages.answerHandOver(message, 0, false);
			return;
		}
		HeldCopy copy = this.holder.removeCopy(message);
		copy.update(message.progress());
		this.counters.countReceived();
		this.messages.answerHandOver(message, message.ownership(), true);
		this.owner.becomeOwner(copy, message.ownership());
	}

	private void receiveHoldRequest(PeerMessage.HoldRequest message) {
		if (!rejectsOwner(message.held().request(), message.ownership(), message.from())) {
			this.holder.receive(message, this.stopping);
		}
	}

	private void receiveHoldProgress(PeerMessage.HoldProgress message) {
		if (!rejectsOwner(message.request(), message.ownership(), message.from())) {
			this.holder.receive(message);
		}
	}

	private void receiveHoldReleased(PeerMessage.HoldReleased message) {
		if (!rejectsOwner(message.request(), message.ownership(), message.from())) {
			this.holder.receive(message);
		}
	}

	private void takeOverFromFailed(HeldCopy copy) {
		// Only the claimant of the key may run an at-most-once call: the failed owner may
		// have dispatched it, and the holder must not run it a second time.
		boolean atMostOnce = copy.held.kind() == CallKind.AT_MOST_ONCE;
		if (atMostOnce || copy.hasEnded()) {
			return;
		}
		this.table.release(copy.held.request());
		this.counters.countTakenOver();
		this.owner.becomeOwner(copy, OwnershipNumber.after(copy.ownership(), this.self));
	}

	// A leaving holder may be gone, together with its copy, before the failure of an
	// owner is confirmed. It therefore takes over the request of a suspected owner and
	// hands it over; an owner that is alive gives up the request due to the higher
	// number.
	private void takeOverFromSuspected() {
		for (HeldCopy copy : this.table.held()) {
			PeerState owner = this.peers.find(copy.owner());
			if (owner == null || owner.status().compareTo(PeerStatus.SUSPECTED) >= 0) {
				takeOverFromFailed(copy);
			}
		}
	}

}
