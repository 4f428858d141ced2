package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The requests that this entry owns, and the ended ones whose callers may reconnect.
 * <p>
 * Ended requests are retained for a limited time and up to a total size; the oldest are
 * evicted first.
 */
final class RequestTable {

	private final Map<RequestId, RequestEntity> requests = new HashMap<>();

	private final PriorityQueue<RequestEntity> byDeadline = new PriorityQueue<>(
			Comparator.comparing(RequestEntity::deadline));

	private final Deque<RequestEntity> ended = new ArrayDeque<>();

	private final Duration retention;

	private final long maximumEndedBytes;

	private List<RequestEntity> newlyEnded = new ArrayList<>();

	private long endedBytes;

	private int running;

	RequestTable(Duration retention, long maximumEndedBytes) {
		this.retention = retention;
		this.maximumEndedBytes = maximumEndedBytes;
	}

	void add(RequestEntity request) {
		RequestEntity other = this.requests.putIfAbsent(request.id(), request);
		Invariant.check(other == null, "request identifier %s is already in use", request.id());
		this.byDeadline.add(request);
		this.running++;
	}

	// Removes a request that another entry owns now.
	void remove(RequestEntity request) {
		this.requests.remove(request.id(), request);
		this.byDeadline.remove(request);
		if (!request.isEnded()) {
			request.phase = RequestPhase.ENDED;
			this.running--;
			this.newlyEnded.add(request);
		}
	}

	@Nullable RequestEntity find(RequestId id) {
		return this.requests.get(id);
	}

	int running() {
		return this.running;
	}

	int size() {
		return this.requests.size();
	}

	void end(RequestEntity request, AnswerPart last, Instant now) {
		Invariant.check(!request.isEnded(), "request %s ended twice", request.id());
		request.phase = RequestPhase.ENDED;
		request.finalPart = last;
		request.endedAt = now;
		this.running--;
		this.ended.add(request);
		this.newlyEnded.add(request);
		this.endedBytes += retainedBytes(request);
		evictEnded(now);
	}

	/**
	 * Removes the requests whose deadline has passed from the deadline queue.
	 * @param now the current time
	 * @return the removed requests that have not ended
	 */
	List<RequestEntity> removeExpired(Instant now) {
		List<RequestEntity> expired = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && !this.byDeadline.peek().deadline().isAfter(now)) {
			RequestEntity request = this.byDeadline.remove();
			if (!request.isEnded()) {
				expired.add(request);
			}
		}
		return expired;
	}

	List<RequestEntity> drainEnded() {
		List<RequestEntity> drained = this.newlyEnded;
		this.newlyEnded = new ArrayList<>();
		return drained;
	}

	void evictEnded(Instant now) {
		while (!this.ended.isEmpty() && exceedsRetention(this.ended.peek(), now)) {
			RequestEntity oldest = this.ended.remove();
			this.requests.remove(oldest.id());
			this.endedBytes -= retainedBytes(oldest);
		}
	}

	private boolean exceedsRetention(RequestEntity oldest, Instant now) {
		Instant endedAt = oldest.endedAt;
		return this.endedBytes > this.maximumEndedBytes || endedAt == null
				|| endedAt.plus(this.retention).isBefore(now);
	}

	private static long retainedBytes(RequestEntity request) {
		long characters = (request.answer != null) ? request.answer.characters() : 0;
		long bodyBytes = (request.finalPart instanceof AnswerPart.PlainResponse answer) ? answer.body().length() : 0;
		return request.call.body().length() + characters + bodyBytes;
	}

}
