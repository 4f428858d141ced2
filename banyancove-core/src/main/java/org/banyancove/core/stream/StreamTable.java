package org.banyancove.core.stream;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The streams of owned requests, and ended answers within bounds on time and size.
 * Confined to the entry's tick thread.
 */
public final class StreamTable {

	private final Map<RequestId, StreamEntity> streams = new LinkedHashMap<>();

	private final Map<EndpointId, Set<RequestId>> byEndpoint = new HashMap<>();

	private final Deque<Ended> ended = new ArrayDeque<>();

	private long endedCharacters;

	private int running;

	/**
	 * Returns a running or recently ended stream.
	 * @param request the request
	 * @return the stream, or {@code null} if there is none
	 */
	public @Nullable StreamEntity find(RequestId request) {
		return this.streams.get(request);
	}

	/**
	 * Returns the number of running streams.
	 * @return the number of streams
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the requests whose streams run at an endpoint.
	 * @param endpoint the endpoint
	 * @return the requests
	 */
	public List<RequestId> at(EndpointId endpoint) {
		return List.copyOf(this.byEndpoint.getOrDefault(endpoint, Set.of()));
	}

	void add(StreamEntity stream) {
		RequestId request = stream.held().request();
		StreamEntity previous = this.streams.put(request, stream);
		Invariant.check(previous == null || previous.answer().end() != null, "request %s already has a running stream",
				request);
		this.running++;
	}

	void setEndpoint(StreamEntity stream, @Nullable EndpointId endpoint) {
		RequestId request = stream.held().request();
		EndpointId former = stream.endpoint;
		if (former != null) {
			Set<RequestId> requests = this.byEndpoint.get(former);
			if (requests != null && requests.remove(request) && requests.isEmpty()) {
				this.byEndpoint.remove(former);
			}
		}
		stream.endpoint = endpoint;
		if (endpoint != null) {
			this.byEndpoint.computeIfAbsent(endpoint, (key) -> new LinkedHashSet<>()).add(request);
		}
	}

	void end(StreamEntity stream, Instant expiresAt) {
		setEndpoint(stream, null);
		this.running--;
		this.endedCharacters += stream.answer().characters();
		this.ended.add(new Ended(stream, expiresAt));
	}

	void remove(StreamEntity stream) {
		setEndpoint(stream, null);
		this.running--;
		this.streams.remove(stream.held().request());
	}

	void removeExpired(Instant now, long maximumCharacters) {
		Ended oldest = this.ended.peek();
		while (oldest != null && (oldest.expiresAt.isBefore(now) || this.endedCharacters > maximumCharacters)) {
			this.ended.poll();
			this.endedCharacters -= oldest.stream.answer().characters();
			this.streams.remove(oldest.stream.held().request(), oldest.stream);
			oldest = this.ended.peek();
		}
	}

	private record Ended(StreamEntity stream, Instant expiresAt) {

	}

}
