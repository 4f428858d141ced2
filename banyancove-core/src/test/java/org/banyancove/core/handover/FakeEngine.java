package org.banyancove.core.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.Piece;
import org.jspecify.annotations.Nullable;

/**
 * An engine that streams a deterministic answer and continues after its connection is
 * lost.
 */
final class FakeEngine {

	static final int TOKENS = 150;

	private static final int ENDED = Integer.MAX_VALUE;

	final EndpointId id;

	final Map<Connection, Integer> sentTo = new LinkedHashMap<>();

	private final Map<RequestId, Integer> generated = new HashMap<>();

	private final Random random;

	FakeEngine(EndpointId id, Random random) {
		this.id = id;
		this.random = random;
	}

	static String text(RequestId request, long from, long to) {
		StringBuilder text = new StringBuilder();
		for (long token = from; token < to; token++) {
			text.append(request).append(':').append(token).append(' ');
		}
		return text.toString();
	}

	boolean knows(RequestId request) {
		return this.generated.containsKey(request);
	}

	void start(Connection connection, int fromOffset) {
		this.generated.merge(connection.request, fromOffset, Math::max);
		attach(connection, fromOffset);
	}

	void attach(Connection connection, int fromOffset) {
		this.sentTo.put(connection, fromOffset);
	}

	void cancel(RequestId request) {
		this.generated.remove(request);
	}

	List<Sent> step() {
		this.generated.replaceAll((request, offset) -> Math.min(TOKENS, offset + this.random.nextInt(3)));
		List<Sent> sent = new ArrayList<>();
		this.sentTo.entrySet().removeIf((entry) -> !this.generated.containsKey(entry.getKey().request));
		for (Map.Entry<Connection, Integer> entry : this.sentTo.entrySet()) {
			Connection connection = entry.getKey();
			int to = this.generated.getOrDefault(connection.request, 0);
			int from = entry.getValue();
			while (from < to) {
				int next = Math.min(to, from + 1 + this.random.nextInt(2));
				sent.add(new Sent(connection,
						new Piece(connection.attempt, from, next, text(connection.request, from, next))));
				from = next;
			}
			if (from == TOKENS) {
				sent.add(new Sent(connection, null));
				from = ENDED;
			}
			entry.setValue(from);
		}
		return sent;
	}

	record Connection(String entry, RequestId request, int attempt) {

	}

	/**
	 * An item sent over a connection: a piece, or the end of the answer if {@code null}.
	 */
	record Sent(Connection connection, @Nullable Piece piece) {

	}

}
