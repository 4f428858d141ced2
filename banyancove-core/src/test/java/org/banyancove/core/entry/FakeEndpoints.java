package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.Body;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.RequestId;
import org.banyancove.core.membership.PeerSeed;
import org.banyancove.core.routing.EndpointDefinition;

/**
 * A fake of engines whose tokens are a function of the request, and of order services
 * that count the runs of each key.
 */
final class FakeEndpoints {

	static final int TOKENS = 120;

	private static final Duration TOKEN_TIME = Duration.ofMillis(25);

	private final EntryRun run;

	private final Map<EndpointId, EndpointDefinition> live = new HashMap<>();

	private final Map<EndpointId, Instant> leaving = new HashMap<>();

	private final Map<EndpointId, Set<RequestId>> streams = new HashMap<>();

	private final Set<Connection> open = new HashSet<>();

	private final Set<Connection> silent = new HashSet<>();

	private final Map<String, Integer> runs = new HashMap<>();

	private int nextNumber;

	private int scrambled;

	private int lostAnswers;

	FakeEndpoints(EntryRun run) {
		this.run = run;
		for (int dataCenter = 0; dataCenter < 3; dataCenter++) {
			add("engine", dataCenter);
			add("engine", dataCenter);
			add("orders", dataCenter);
		}
	}

	EntryEvent.VmsListed listed(List<PeerSeed> seeds) {
		List<EntryEvent.ReclaimNotice> notices = new ArrayList<>();
		this.leaving.forEach((id, at) -> notices.add(new EntryEvent.ReclaimNotice(EntryRun.vm(id.value()), at)));
		return new EntryEvent.VmsListed(this.run.now(), List.copyOf(this.live.values()), notices, seeds);
	}

	int runs(String key) {
		return this.runs.getOrDefault(key, 0);
	}

	int keysRun() {
		return this.runs.size();
	}

	void reclaim() {
		EndpointId id = any();
		Instant at = this.run.now().plusSeconds(10);
		if (this.leaving.putIfAbsent(id, at) == null) {
			EntryEvent.ReclaimNotice notice = new EntryEvent.ReclaimNotice(EntryRun.vm(id.value()), at);
			// The notice reaches one entry only, which forwards it to the others.
			this.run.anyEntry().handle(new EntryEvent.ReclaimAnnounced(notice));
			this.run.after(Duration.ofSeconds(10), () -> remove(id));
		}
	}

	void crash() {
		remove(any());
	}

	void silence() {
		this.silent.addAll(this.open);
	}

	void scramble() {
		this.scrambled += 40;
	}

	void loseAnswers() {
		this.lostAnswers += 2;
	}

	void endFaults() {
		this.scrambled = 0;
		this.lostAnswers = 0;
	}

	void start(FakeEntry entry, int incarnation, EntryCommand.StartAttempt start) {
		if (!this.live.containsKey(start.endpoint())) {
			end(entry, incarnation, start, new AttemptResult.NeverSent("connection refused"));
			return;
		}
		Connection connection = new Connection(incarnation, start.request(), start.attempt(), start.endpoint());
		this.open.add(connection);
		switch (start.content()) {
			case AttemptRequest.PlainCall call -> plainCall(entry, incarnation, start, call);
			case AttemptRequest.Generate _ -> stream(entry, start, connection, 0);
			case AttemptRequest.Continue resume -> stream(entry, start, connection, resume.fromOffset());
			case AttemptRequest.Reattach reattach -> {
				if (streamsAt(start.endpoint()).contains(start.request())) {
					stream(entry, start, connection, reattach.fromOffset());
				}
				else {
					end(entry, incarnation, start, new AttemptResult.Answered(404, "text/plain", Body.EMPTY));
				}
			}
		}
	}

	void cancel(int incarnation, EntryCommand.CancelAttempt cancel) {
		this.open.remove(new Connection(incarnation, cancel.request(), cancel.attempt(), cancel.endpoint()));
	}

	void cancelStream(EntryCommand.CancelStream cancel) {
		streamsAt(cancel.endpoint()).remove(cancel.request());
	}

	void moveCache(FakeEntry entry, int incarnation, EntryCommand.MoveCache move) {
		this.run.after(50, 200, () -> entry.handle(incarnation, new EntryEvent.CacheMoved(move.request(), move.target(),
				this.live.containsKey(move.target()) && this.run.chance(0.7))));
	}

	static String token(RequestId request, long offset) {
		return " " + callOf(request) + "." + offset;
	}

	// Each time a call is sent it has a new identifier and the same answer.
	private static String callOf(RequestId request) {
		int lastDash = request.value().lastIndexOf('-');
		return request.value().substring(0, lastDash);
	}

	private void stream(FakeEntry entry, EntryCommand.StartAttempt start, Connection connection, long from) {
		streamsAt(start.endpoint()).add(start.request());
		this.run.after(TOKEN_TIME, () -> next(entry, start, connection, from));
	}

	private void next(FakeEntry entry, EntryCommand.StartAttempt start, Connection connection, long offset) {
		if (!this.open.contains(connection) || this.silent.contains(connection)) {
			return;
		}
		if (!this.live.containsKey(start.endpoint())) {
			end(entry, connection.incarnation, start, new AttemptResult.Broken("connection reset"));
			return;
		}
		if (offset == TOKENS) {
			end(entry, connection.incarnation, start, new AttemptResult.StreamEnded(TOKENS, "length", 0));
			return;
		}
		EntryEvent piece = new EntryEvent.PieceArrived(start.request(), start.attempt(), offset, offset + 1,
				token(start.request(), offset));
		boolean scramble = this.scrambled > 0;
		this.scrambled = Math.max(0, this.scrambled - 1);
		this.run.after(1, scramble ? 200 : 1, () -> entry.handle(connection.incarnation, piece));
		if (scramble) {
			this.run.after(1, 400, () -> entry.handle(connection.incarnation, piece));
		}
		this.run.after(TOKEN_TIME, () -> next(entry, start, connection, offset + 1));
	}

	private void plainCall(FakeEntry entry, int incarnation, EntryCommand.StartAttempt start,
			AttemptRequest.PlainCall call) {
		this.run.after(5, 50, () -> {
			if (!this.live.containsKey(start.endpoint())) {
				end(entry, incarnation, start, new AttemptResult.Broken("connection reset"));
				return;
			}
			this.runs.merge(String.valueOf(call.idempotencyKey()), 1, Integer::sum);
			if (this.lostAnswers > 0) {
				this.lostAnswers--;
				this.run.after(100, 30_000,
						() -> end(entry, incarnation, start, new AttemptResult.Broken("no answer")));
				return;
			}
			end(entry, incarnation, start, new AttemptResult.Answered(200, "text/plain", Body.of("booked")));
		});
	}

	private void end(FakeEntry entry, int incarnation, EntryCommand.StartAttempt start, AttemptResult result) {
		EntryEvent ended = new EntryEvent.AttemptEnded(start.request(), start.attempt(), result);
		this.run.after(1, 5, () -> entry.handle(incarnation, ended));
	}

	private void remove(EndpointId id) {
		EndpointDefinition removed = this.live.remove(id);
		this.leaving.remove(id);
		this.streams.remove(id);
		if (removed != null) {
			String kind = id.value().startsWith("engine") ? "engine" : "orders";
			int dataCenter = Character.digit(removed.dataCenter().value().charAt(3), 10);
			this.run.after(2000, 6000, () -> add(kind, dataCenter));
		}
	}

	private void add(String kind, int dataCenter) {
		EndpointId id = new EndpointId(kind + "-" + this.nextNumber++);
		this.live.put(id,
				new EndpointDefinition(id, EntryRun.vm(id.value()), EntryRun.dataCenter(dataCenter),
						EntryRun.zone(dataCenter), new MachineClass("any"),
						kind.equals("engine") ? EntryRun.PLANNING : EntryRun.ORDERS, id.value(), 1));
	}

	private EndpointId any() {
		List<EndpointId> ids = this.live.keySet().stream().sorted().toList();
		return ids.get(this.run.random().nextInt(ids.size()));
	}

	private Set<RequestId> streamsAt(EndpointId id) {
		return this.streams.computeIfAbsent(id, (key) -> new HashSet<>());
	}

	private record Connection(int incarnation, RequestId request, int attempt, EndpointId endpoint) {

	}

}
