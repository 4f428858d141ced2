package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.membership.MembershipFixture;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.banyancove.core.peer.Progress;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class HandoverSystemTests {

	private static final RequestId REQUEST = new RequestId("r-1");

	private static final AccountName ACCOUNT = new AccountName("lagon");

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final Deque<Sent> inFlight = new ArrayDeque<>();

	private Predicate<Sent> lost = (sent) -> false;

	private Instant now = Instant.EPOCH;

	HandoverSystemTests() {
		for (String name : List.of("a1", "a2", "b1", "b2")) {
			this.entries.put(name + ":1", new Entry(name));
		}
		this.entries.values().forEach((entry) -> this.entries.values().forEach((other) -> entry.putPeer(other.self)));
	}

	@Test
	void requestIsAcceptedOnlyAfterAnotherDataCenterHoldsIt() {
		Entry owner = entry("a1");
		owner.handover.offer(request(CallKind.MODEL));
		assertThat(owner.accepted).isEmpty();
		deliver();
		assertThat(owner.accepted).containsEntry(REQUEST, false);
		assertThat(holders()).singleElement().asString().startsWith("b");
	}

	/*
	 * Guards against a request without a holder: all messages to the first two peers are
	 * lost, and the third peer holds the request.
	 */
	@Test
	void nextPeerHoldsRequestAfterUnresponsiveOnes() {
		this.lost = (sent) -> sent.to.startsWith("b");
		Entry owner = entry("a1");
		owner.handover.offer(request(CallKind.MODEL));
		pass(Duration.ofMillis(250));
		assertThat(owner.accepted).containsEntry(REQUEST, false);
		assertThat(holders()).containsExactly("a2");
	}

	@Test
	void requestIsAcceptedWithoutHolderAndCountedIfNoPeerAnswers() {
		this.lost = (sent) -> true;
		Entry owner = entry("a1");
		owner.handover.offer(request(CallKind.MODEL));
		pass(Duration.ofMillis(400));
		assertThat(owner.accepted).containsEntry(REQUEST, true);
		assertThat(owner.handover.counters().acceptedWithoutHolder()).isEqualTo(1);
		this.lost = (sent) -> false;
		pass(Duration.ofSeconds(10));
		assertThat(holders()).hasSize(1);
	}

	/*
	 * Guards against losing a request with its entry: a request reaches an entry that has
	 * just started and has not joined any peer yet. It is accepted once a second entry
	 * holds it.
	 */
	@Test
	void joiningEntryAcceptsRequestOnlyWhenPeerHoldsIt() {
		Entry owner = new Entry("c1");
		this.entries.put("c1:1", owner);
		MembershipFixture.setJoining(owner.peers, true);
		owner.handover.offer(request(CallKind.MODEL));
		pass(Duration.ofSeconds(3));
		assertThat(owner.accepted).isEmpty();
		join(owner, "a1");
		MembershipFixture.setJoining(owner.peers, false);
		deliver();
		assertThat(owner.accepted).containsEntry(REQUEST, false);
		assertThat(holders()).containsExactly("a1");
	}

	/*
	 * Guards against a holder that is reclaimed together with the owner: the owner
	 * requests a peer in another data center, receives no answer and requests its
	 * neighbor as well. The late acknowledgement arrives first and counts, since the
	 * neighbor would be reclaimed with the owner if the entire data center leaves.
	 */
	@Test
	void firstPeerToAcknowledgeBecomesHolder() {
		Entry owner = entry("a1");
		owner.handover.offer(request(CallKind.MODEL));
		List<Sent> late = List.copyOf(this.inFlight);
		this.inFlight.clear();
		this.now = this.now.plusMillis(150);
		owner.handover.tick();
		this.inFlight.clear();
		this.inFlight.addAll(late);
		deliver();
		assertThat(owner.accepted).containsEntry(REQUEST, false);
		assertThat(holders()).containsExactly(late.getFirst().to.substring(0, 2));
	}

	/*
	 * Guards against accepting a request without a holder: the owner requests a peer to
	 * hold the request, learns that the peer is leaving, and tells it to drop the
	 * request. The acknowledgement arrives afterwards and is no longer valid.
	 */
	@Test
	void acknowledgementOfDroppedHolderIsIgnored() {
		Entry owner = entry("a1");
		owner.handover.offer(request(CallKind.MODEL));
		Entry dropped = Objects.requireNonNull(this.entries.get(this.inFlight.getFirst().to));
		PeerState leaving = dropped.self.withStatus(PeerStatus.LEAVING);
		owner.putPeer(leaving);
		owner.handover.leaving(leaving);
		this.inFlight.clear();
		owner.handover
			.receive(new PeerMessage.HoldAcknowledged(leaving.incarnation(), REQUEST, OwnershipNumber.FIRST, 0, true));
		assertThat(owner.accepted).isEmpty();
	}

	/*
	 * Guards against losing a request with its entry: a partitioned entry accepts a
	 * request without a holder. The first peer that joins must hold it immediately, not
	 * only when the next copy of the progress is due.
	 */
	@Test
	void requestAcceptedWithoutHolderIsHeldByFirstJoinedPeer() {
		Entry owner = new Entry("c1");
		this.entries.put("c1:1", owner);
		owner.handover.offer(request(CallKind.MODEL));
		assertThat(owner.accepted).containsEntry(REQUEST, true);
		join(owner, "a1");
		deliver();
		assertThat(holders()).containsExactly("a1");
	}

	/*
	 * The owner fails without notice. The holder takes the request over once, with the
	 * tokens so far, and finds another holder.
	 */
	@Test
	void holderTakesOverFromFailedOwner() {
		Entry owner = accepted(CallKind.MODEL);
		owner.stream(0, 5);
		pass(Duration.ofSeconds(3));
		Entry holder = entry(holders().getFirst());
		kill(owner);
		pass(Duration.ofSeconds(1));
		assertThat(holder.takenOver).containsOnlyKeys(REQUEST);
		assertThat(progressOf(holder).toOffset()).isEqualTo(5);
		assertThat(holders()).hasSize(1).doesNotContain(holder.name());
	}

	/*
	 * Guards against running an at-most-once call twice: the owner fails when it may have
	 * dispatched the call. The holder must not run it.
	 */
	@Test
	void holderNeverRunsAtMostOnceCall() {
		Entry owner = accepted(CallKind.AT_MOST_ONCE);
		kill(owner);
		pass(Duration.ofSeconds(5));
		assertThat(this.entries.values()).allSatisfy((entry) -> {
			assertThat(entry.takenOver).isEmpty();
			assertThat(entry.adopted).isEmpty();
		});
		assertThat(holders()).hasSize(1);
	}

	/*
	 * Guards against two owners: the owner is paused and considered failed, and its
	 * holder takes over. After the owner resumes, its next message to the holder is
	 * answered with the higher number, and it gives up the request before it can hand it
	 * to a third entry.
	 */
	@Test
	void resumedOwnerGivesUpRequest() {
		Entry owner = accepted(CallKind.MODEL);
		Entry holder = entry(holders().getFirst());
		holder.handover.died(owner.self);
		deliver();
		pass(Duration.ofSeconds(3));
		assertThat(owner.released).containsEntry(REQUEST, holder.self.incarnation());
		assertThat(owner.holds.owns(REQUEST)).isFalse();
		assertThat(holder.holds.owns(REQUEST)).isTrue();
	}

	/*
	 * Guards against losing a request in a handover: the handover message is lost. The
	 * owner keeps the request and hands it over to the next peer; giving it up without an
	 * acknowledgement would lose it if no copy is held.
	 */
	@Test
	void requestIsKeptUntilHandoverIsAcknowledged() {
		Entry owner = accepted(CallKind.MODEL);
		String holder = holders().getFirst();
		this.lost = (sent) -> sent.message instanceof PeerMessage.HandOver && sent.to.startsWith(holder);
		owner.handover.handOverAll(false);
		deliver();
		assertThat(owner.holds.owns(REQUEST)).isTrue();
		assertThat(owner.released).isEmpty();
		pass(Duration.ofMillis(700));
		assertThat(owner.holds.owns(REQUEST)).isFalse();
		assertThat(owners()).singleElement().isNotEqualTo(holder);
		assertThat(owner.handover.canStop()).isTrue();
	}

	/*
	 * Guards against two owners: the receiver's acknowledgement is lost, and the owner
	 * hands the request over to another peer under a higher number. The receiver with the
	 * lower number gives up the request.
	 */
	@Test
	void onlyOneOfTwoReceiversRemainsOwner() {
		Entry owner = accepted(CallKind.MODEL);
		boolean[] first = { true };
		this.lost = (sent) -> {
			boolean lose = first[0] && sent.message instanceof PeerMessage.HandOverAcknowledged;
			first[0] = first[0] && !lose;
			return lose;
		};
		owner.handover.handOverAll(false);
		pass(Duration.ofSeconds(8));
		assertThat(owners()).hasSize(1);
	}

	/*
	 * The receiver is stopping as well and refuses the handover; the next peer accepts
	 * it. No running request is interrupted.
	 */
	@Test
	void stoppingReceiverRefusesAndNextPeerAccepts() {
		Entry owner = accepted(CallKind.MODEL);
		String holder = holders().getFirst();
		entry(holder).handover.beginStop();
		owner.handover.beginStop();
		assertThat(owner.handover.canStop()).isFalse();
		owner.handover.handOverAll(false);
		pass(Duration.ofSeconds(1));
		assertThat(owners()).singleElement().isNotEqualTo(holder);
		assertThat(owner.handover.canStop()).isTrue();
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(() -> owner.handover.offer(request(CallKind.MODEL)));
	}

	/*
	 * Guards against losing the only copy: the owner fails without notice, and its holder
	 * receives a reclaim notice before the failure is confirmed. The holder takes the
	 * request over on suspicion and hands it over.
	 */
	@Test
	void leavingHolderHandsOverRequestsOfSuspectedOwner() {
		Entry owner = accepted(CallKind.MODEL);
		Entry holder = entry(holders().getFirst());
		this.entries.remove(owner.self.address());
		this.entries.values().forEach((entry) -> entry.putPeer(owner.self.withStatus(PeerStatus.SUSPECTED)));
		holder.handover.handOverAll(false);
		pass(Duration.ofSeconds(2));
		assertThat(owners()).singleElement().isNotEqualTo(holder.name());
	}

	@Test
	void requestsMoveToAnotherDataCenterIfTheirsLeaves() {
		Entry owner = accepted(CallKind.MODEL);
		owner.handover.handOverAll(true);
		deliver();
		assertThat(owners()).singleElement().asString().startsWith("b");
	}

	@Test
	void stopWaitsForRunningRequests() {
		Entry owner = accepted(CallKind.MODEL);
		owner.handover.beginStop();
		pass(Duration.ofSeconds(3));
		assertThat(owner.handover.canStop()).isFalse();
		owner.stream(0, 3);
		owner.answer.end(1, 3, new EndOfAnswer.Complete("stop"));
		owner.handover.ended(REQUEST, 3, new EndOfAnswer.Complete("stop"));
		deliver();
		assertThat(owner.handover.canStop()).isTrue();
	}

	/*
	 * Guards against disclosing an answer to another account: a caller reconnects to an
	 * entry that does not know its request and receives the ended answer from the holder;
	 * a caller of another account with the same request identifier receives nothing.
	 */
	@Test
	void endedAnswerIsReadFromHolderByItsAccountOnly() {
		Entry owner = accepted(CallKind.MODEL);
		String holder = holders().getFirst();
		owner.stream(0, 4);
		owner.answer.end(1, 4, new EndOfAnswer.Complete("stop"));
		owner.handover.ended(REQUEST, 4, new EndOfAnswer.Complete("stop"));
		deliver();
		Entry reader = entry("a2");
		fetch(reader, holder, ACCOUNT);
		fetch(reader, holder, new AccountName("kowhai"));
		assertThat(reader.fetched).extracting(PeerMessage.AnswerPieces::found).containsExactly(true, false);
		assertThat(reader.fetched.getFirst().pieces()).hasSize(1);
		assertThat(reader.fetched.getFirst().end()).isEqualTo(new EndOfAnswer.Complete("stop"));
		assertThat(reader.fetched.getLast().pieces()).isEmpty();
	}

	private void fetch(Entry reader, String holder, AccountName account) {
		entry(holder).handover.receive(new PeerMessage.FetchAnswer(reader.self.incarnation(), REQUEST, account, 0));
		deliver();
	}

	private Entry accepted(CallKind kind) {
		Entry owner = entry("a1");
		owner.handover.offer(request(kind));
		deliver();
		assertThat(owner.accepted).containsEntry(REQUEST, false);
		return owner;
	}

	private Progress progressOf(Entry entry) {
		return Objects.requireNonNull(entry.takenOver.get(REQUEST));
	}

	private void kill(Entry dead) {
		this.entries.remove(dead.self.address());
		this.entries.values().forEach((entry) -> {
			entry.putPeer(dead.self.withStatus(PeerStatus.DEAD));
			entry.handover.died(dead.self);
		});
	}

	private void pass(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plusMillis(10);
			this.entries.values().forEach((entry) -> entry.handover.tick());
			deliver();
		}
	}

	private void join(Entry entry, String name) {
		Entry peer = entry(name);
		peer.putPeer(entry.self);
		entry.putPeer(peer.self);
		entry.handover.joined(peer.self);
	}

	private void deliver() {
		Sent sent = this.inFlight.poll();
		while (sent != null) {
			Entry to = this.entries.get(sent.to);
			if (to != null && !this.lost.test(sent)) {
				to.receive(sent.message);
			}
			sent = this.inFlight.poll();
		}
	}

	private Entry entry(String name) {
		return Objects.requireNonNull(this.entries.get(name + ":1"), name);
	}

	private List<String> holders() {
		return this.entries.values().stream().filter((entry) -> entry.holds.holds(REQUEST)).map(Entry::name).toList();
	}

	private List<String> owners() {
		return this.entries.values().stream().filter((entry) -> entry.holds.owns(REQUEST)).map(Entry::name).toList();
	}

	private static HeldRequest request(CallKind kind) {
		return new HeldRequest(REQUEST, ACCOUNT, new ServiceName("plans"), kind, 0, "POST", "/", Body.EMPTY, null,
				Instant.EPOCH.plusSeconds(3600));
	}

	private final class Entry implements HandoverPort {

		final PeerState self;

		final PeerTable peers = new PeerTable();

		final HoldTable holds = new HoldTable();

		final HandoverSystem handover;

		final AnswerBuffer answer = new AnswerBuffer(0);

		final Map<RequestId, Boolean> accepted = new HashMap<>();

		final Map<RequestId, Progress> takenOver = new HashMap<>();

		final List<RequestId> adopted = new ArrayList<>();

		final Map<RequestId, Incarnation> released = new HashMap<>();

		final List<PeerMessage.AnswerPieces> fetched = new ArrayList<>();

		Entry(String name) {
			this.self = new PeerState(new Incarnation(new VmId(name), 1), new DataCenterName(name.substring(0, 1)),
					new ZoneName(name), name + ":1", 0, PeerStatus.ALIVE);
			this.handover = new HandoverSystem(this.self, this.peers, this.holds, () -> HandoverSystemTests.this.now,
					HandoverSettings.defaults(Set.of(new DataCenterName("a"), new DataCenterName("b"))),
					(address, message) -> HandoverSystemTests.this.inFlight.add(new Sent(address, message)), this);
			this.answer.beginAttempt(1);
		}

		String name() {
			return this.self.incarnation().vm().value();
		}

		void putPeer(PeerState peer) {
			MembershipFixture.put(this.peers, peer);
		}

		void stream(int from, int to) {
			this.answer.accept(new Piece(1, from, to, FakeEngine.text(REQUEST, from, to)));
		}

		void receive(PeerMessage message) {
			if (message instanceof PeerMessage.AnswerPieces pieces) {
				this.fetched.add(pieces);
			}
			else {
				this.handover.receive(message);
			}
		}

		@Override
		public void accepted(RequestId request, boolean alone) {
			this.accepted.put(request, alone);
		}

		@Override
		public void takeOver(HeldRequest held, Progress progress) {
			this.takenOver.put(held.request(), progress);
		}

		@Override
		public void adoptKeyed(HeldRequest held) {
			this.adopted.add(held.request());
		}

		@Override
		public void released(RequestId request, Incarnation owner) {
			this.released.put(request, owner);
		}

		@Override
		public @Nullable AnswerBuffer answer(RequestId request) {
			return this.answer;
		}

		@Override
		public @Nullable EndpointId endpoint(RequestId request) {
			return null;
		}

	}

	private record Sent(String to, PeerMessage message) {

	}

}
