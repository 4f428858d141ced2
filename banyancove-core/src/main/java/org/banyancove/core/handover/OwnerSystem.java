package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.banyancove.core.Incarnation;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.jspecify.annotations.Nullable;

/**
 * Manages the requests owned by this process: finds a holder for each request, copies the
 * answer's progress to the holder, and hands the request over when this process leaves.
 */
final class OwnerSystem {

	private static final int MAXIMUM_RELEASE_ATTEMPTS = 5;

	private static final int MAXIMUM_HANDOVER_CHARACTERS = 1 << 20;

	private final Incarnation self;

	private final PeerTable peers;

	private final HoldTable table;

	private final FormerRequestTable formerRequests;

	private final InstantSource clock;

	private final HandoverSettings settings;

	private final HoldMessages messages;

	private final HandoverPort port;

	private final HolderRanking ranking;

	private final HandoverCounters counters;

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparing(Timer::due));

	private final Map<Incarnation, Instant> avoidedPeers = new HashMap<>();

	private boolean handingOver;

	private boolean otherDataCenterOnly;

	OwnerSystem(Incarnation self, PeerTable peers, HoldTable table, FormerRequestTable formerRequests,
			InstantSource clock, HandoverSettings settings, HoldMessages messages, HandoverPort port,
			HolderRanking ranking, HandoverCounters counters) {
		this.self = self;
		this.peers = peers;
		this.table = table;
		this.formerRequests = formerRequests;
		this.clock = clock;
		this.settings = settings;
		this.messages = messages;
		this.port = port;
		this.ranking = ranking;
		this.counters = counters;
	}

	void begin(HeldRequest held) {
		OwnedRequest request = new OwnedRequest(held, OwnershipNumber.FIRST);
		this.table.own(request);
		findHolder(request);
	}

	void end(OwnedRequest request, long totalOffset, EndOfAnswer end) {
		request.end = end;
		request.totalOffset = totalOffset;
		request.receiver = null;
		request.unacknowledged = 0;
		release(request);
	}

	void tick(Instant now) {
		Timer next = this.timers.peek();
		while (next != null && !next.due.isAfter(now)) {
			this.timers.poll();
			OwnedRequest request = this.table.owned(next.request);
			if (request != null && request.due().equals(next.due)) {
				request.dueAt(Instant.MAX);
				timeout(request);
			}
			next = this.timers.peek();
		}
	}

	void removeExpired(Instant now) {
		this.avoidedPeers.values().removeIf((until) -> until.isBefore(now));
	}

	void handOverAll(boolean wholeDataCenter) {
		this.handingOver = true;
		this.otherDataCenterOnly = wholeDataCenter;
		this.table.owned().forEach((request) -> {
			request.triedPeers.clear();
			handOver(request);
		});
	}

	boolean isHandingOver() {
		return this.handingOver;
	}

	void findMissingHolders() {
		for (OwnedRequest request : this.table.owned()) {
			if (request.holder == null && request.receiver == null && request.end == null) {
				request.triedPeers.clear();
				findHolderOrReceiver(request);
			}
		}
	}

	void replaceAsHolder(PeerState peer) {
		for (RequestId id : this.table.ownedWithHolder(peer.incarnation())) {
			OwnedRequest request = this.table.owned(id);
			if (request == null) {
				continue;
			}
			if (request.end != null) {
				retire(request);
			}
			else if (request.receiver == null) {
				replaceHolder(request);
			}
		}
	}

	void becomeOwner(HeldCopy copy, long ownership) {
		Invariant.check(ownership >= copy.ownership(), "ownership of %s decreases from %s to %s", copy.held.request(),
				copy.ownership(), ownership);
		OwnedRequest request = new OwnedRequest(copy.held, ownership);
		request.accepted = true;
		this.formerRequests.remove(copy.held.request());
		this.table.own(request);
		if (copy.held.kind() == CallKind.AT_MOST_ONCE) {
			this.port.adoptKeyed(copy.held);
		}
		else {
			this.port.takeOver(copy.held, copy.progress());
		}
		if (request.end == null && this.table.owns(copy.held.request())) {
			findHolderOrReceiver(request);
		}
	}

	// Applies a handover with a higher number of a request that this process already
	// owns.
	void raiseOwnership(OwnedRequest request, long ownership) {
		request.raiseOwnership(ownership);
		notifyHolder(request);
	}

	void acknowledged(PeerMessage.HoldAcknowledged message) {
		OwnedRequest request = this.table.owned(message.request());
		if (request == null) {
			return;
		}
		if (message.ownership() > request.ownership()) {
			boolean handedOver = message.from().equals(request.receiver);
			if (handedOver) {
				this.counters.countHandedOver();
				giveUp(request, message.from(), message.ownership());
			}
			else {
				loseOwnership(request, message.from(), message.ownership());
			}
			return;
		}
		// The first requested peer that acknowledges the request becomes its holder, even
		// if another peer has been requested since. A remote peer answers later than a
		// nearby one; if late acknowledgements were ignored, the holder would be a
		// neighbor that may be reclaimed together with this process.
		if (message.held() && message.ownership() == request.ownership() && request.acceptsHolder(message.from())) {
			this.table.setHolder(request, message.from());
		}
		if (!message.from().equals(request.holder)) {
			if (message.held()) {
				drop(message.from(), request);
			}
			return;
		}
		if (request.end != null) {
			if (!message.held()) {
				retire(request);
			}
			return;
		}
		if (message.held()) {
			holderAcknowledged(request, message.nextOffset());
		}
		else if (request.receiver == null) {
			holderRefused(request);
		}
	}

	void handOverAnswered(PeerMessage.HandOverAcknowledged message) {
		OwnedRequest request = this.table.owned(message.request());
		if (request == null) {
			FormerRequestTable.FormerRequest former = this.formerRequests.find(message.request());
			if (former != null && message.accepted() && former.ownership() > message.ownership()) {
				this.messages.acknowledge(message.from(), message.request(), former.ownership(), 0, false);
			}
			return;
		}
		if (message.accepted() && message.ownership() >= request.offeredOwnership) {
			this.counters.countHandedOver();
			giveUp(request, message.from(), message.ownership());
		}
		else if (message.accepted()) {
			// A late acknowledgement of a previous receiver. The request has been offered
			// to another receiver under a higher number, so the previous one must give it
			// up.
			this.messages.acknowledge(message.from(), message.request(), request.offeredOwnership, 0, false);
		}
		else if (message.ownership() > request.offeredOwnership) {
			loseOwnership(request, message.from(), message.ownership());
		}
		else if (message.from().equals(request.receiver)) {
			request.triedPeers.add(message.from());
			handOver(request);
		}
	}

	void loseOwnership(OwnedRequest request, Incarnation to, long ownership) {
		this.counters.countLost();
		giveUp(request, to, ownership);
	}

	private void findHolder(OwnedRequest request) {
		List<PeerState> candidates = this.ranking.rank(request.held.request(), false)
			.stream()
			.filter((peer) -> !request.triedPeers.contains(peer.incarnation()))
			.sorted(Comparator.comparing((PeerState peer) -> isAvoided(peer.incarnation())))
			.toList();
		if (candidates.isEmpty() && this.peers.isJoining()) {
			schedule(request, this.settings.acknowledgeTimeout());
			return;
		}
		if (candidates.isEmpty() || request.triedPeers.size() >= this.settings.maximumHolderAttempts()) {
			continueWithoutHolder(request);
			return;
		}
		PeerState holder = candidates.getFirst();
		this.table.setHolder(request, holder.incarnation());
		request.triedPeers.add(holder.incarnation());
		request.requestedHolders.add(holder.incarnation());
		this.messages.requestHold(holder.incarnation(), request.held, request.ownership());
		schedule(request, this.settings.acknowledgeTimeout());
	}

	private void findHolderOrReceiver(OwnedRequest request) {
		if (this.handingOver && request.accepted) {
			handOver(request);
		}
		else {
			findHolder(request);
		}
	}

	private void continueWithoutHolder(OwnedRequest request) {
		this.table.setHolder(request, null);
		request.dropHolder();
		schedule(request, this.settings.progressInterval());
		accept(request, true);
	}

	private void accept(OwnedRequest request, boolean alone) {
		if (!request.accepted) {
			request.accepted = true;
			this.counters.countAccepted(alone);
			this.port.accepted(request.held.request(), alone);
			if (this.handingOver) {
				handOver(request);
			}
		}
	}

	private void timeout(OwnedRequest request) {
		if (request.end != null) {
			retryRelease(request);
		}
		else if (request.receiver != null) {
			request.triedPeers.add(request.receiver);
			avoid(request.receiver);
			handOver(request);
		}
		else if (this.handingOver && request.accepted) {
			request.triedPeers.clear();
			handOver(request);
		}
		else if (request.holder == null) {
			findHolder(request);
		}
		else if (!request.holderAcknowledged) {
			avoid(request.holder);
			findHolder(request);
		}
		else {
			copyProgress(request);
		}
	}

	private void copyProgress(OwnedRequest request) {
		Incarnation holder = request.holder;
		if (holder == null || request.unacknowledged >= this.settings.maximumUnacknowledgedCopies()) {
			replaceHolder(request);
			return;
		}
		request.unacknowledged++;
		this.messages.copyProgress(holder, request.held.request(), request.ownership(),
				this.messages.progress(request, request.holderOffset, this.settings.progressCharacters()));
		schedule(request, this.settings.progressInterval());
	}

	private void replaceHolder(OwnedRequest request) {
		Incarnation former = request.holder;
		this.table.setHolder(request, null);
		request.dropHolder();
		if (former != null) {
			avoid(former);
			request.triedPeers.add(former);
			drop(former, request);
		}
		this.counters.countHolderReplaced();
		findHolder(request);
	}

	private void drop(Incarnation peer, OwnedRequest request) {
		request.requestedHolders.remove(peer);
		this.messages.drop(peer, request);
	}

	private void release(OwnedRequest request) {
		Incarnation holder = request.holder;
		if (holder == null) {
			retire(request);
			return;
		}
		RequestId id = request.held.request();
		this.messages.copyProgress(holder, id, request.ownership(),
				this.messages.progress(request, request.holderOffset, this.settings.progressCharacters()));
		this.messages.release(holder, id, request.ownership(), request.totalOffset, endOf(request));
		schedule(request, this.settings.handOverTimeout());
	}

	private void retryRelease(OwnedRequest request) {
		request.unacknowledged++;
		if (request.unacknowledged >= MAXIMUM_RELEASE_ATTEMPTS) {
			retire(request);
		}
		else {
			release(request);
		}
	}

	private static EndOfAnswer endOf(OwnedRequest request) {
		EndOfAnswer end = request.end;
		if (end == null) {
			throw new IllegalStateException("request must have ended: " + request.held.request());
		}
		return end;
	}

	private void handOver(OwnedRequest request) {
		if (request.end != null) {
			return;
		}
		if (!request.accepted) {
			// The request is handed over once it is accepted.
			return;
		}
		PeerState receiver = nextReceiver(request);
		if (receiver == null) {
			request.receiver = null;
			request.triedPeers.clear();
			schedule(request, this.settings.handOverTimeout());
			return;
		}
		request.receiver = receiver.incarnation();
		request.offeredOwnership = OwnershipNumber.after(request.offeredOwnership, receiver.incarnation());
		long from = 0;
		if (receiver.incarnation().equals(request.holder)) {
			from = request.holderOffset;
		}
		this.messages.handOver(receiver.incarnation(), request,
				this.messages.progress(request, from, MAXIMUM_HANDOVER_CHARACTERS));
		schedule(request, this.settings.handOverTimeout());
	}

	private @Nullable PeerState nextReceiver(OwnedRequest request) {
		RequestId id = request.held.request();
		List<PeerState> ranked = this.ranking.rank(id, this.otherDataCenterOnly);
		if (ranked.isEmpty()) {
			ranked = this.ranking.rank(id, false);
		}
		return ranked.stream()
			.filter((peer) -> !request.triedPeers.contains(peer.incarnation()))
			.min(Comparator.comparing((PeerState peer) -> isAvoided(peer.incarnation()))
				.thenComparing((peer) -> !peer.incarnation().equals(request.holder)))
			.orElse(null);
	}

	private void holderAcknowledged(OwnedRequest request, long nextOffset) {
		request.unacknowledged = 0;
		request.holderOffset = nextOffset;
		if (request.holderAcknowledged) {
			return;
		}
		request.holderAcknowledged = true;
		if (request.receiver == null) {
			schedule(request, this.settings.progressInterval());
		}
		accept(request, false);
	}

	private void holderRefused(OwnedRequest request) {
		this.table.setHolder(request, null);
		request.holderAcknowledged = false;
		request.holderOffset = 0;
		findHolder(request);
	}

	private void notifyHolder(OwnedRequest request) {
		Incarnation holder = request.holder;
		if (holder != null) {
			this.messages.requestHold(holder, request.held, request.ownership());
		}
	}

	private void giveUp(OwnedRequest request, Incarnation to, long ownership) {
		Invariant.check(ownership > request.ownership(), "request %s given up under ownership %s for %s",
				request.held.request(), request.ownership(), ownership);
		Incarnation holder = request.holder;
		if (holder != null && !holder.equals(to)) {
			this.messages.drop(holder, request);
		}
		this.table.disown(request);
		this.formerRequests.add(request, to, ownership);
		this.port.released(request.held.request(), to);
	}

	private void retire(OwnedRequest request) {
		this.table.disown(request);
		this.formerRequests.add(request, this.self, request.ownership());
	}

	private void avoid(Incarnation peer) {
		this.avoidedPeers.put(peer, this.clock.instant().plus(this.settings.avoidanceTime()));
	}

	private boolean isAvoided(Incarnation peer) {
		return this.avoidedPeers.containsKey(peer);
	}

	private void schedule(OwnedRequest request, Duration delay) {
		Instant due = this.clock.instant().plus(delay);
		request.dueAt(due);
		this.timers.add(new Timer(due, request.held.request()));
	}

	private record Timer(Instant due, RequestId request) {

	}

}
