package org.banyancove.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Published events of the prefix cache: delayed, and with every tenth event lost. This
 * class is thread-safe.
 */
final class CacheEvents {

	private static final int LOSS_INTERVAL = 10;

	private static final int MAXIMUM_RETAINED_EVENTS = 10_000;

	private final Duration lag;

	private final InstantSource clock;

	private final Deque<TimedEvent> events = new ArrayDeque<>();

	private long sequence;

	CacheEvents(Duration lag, InstantSource clock) {
		this.lag = lag;
		this.clock = clock;
	}

	synchronized void add(String kind, String prefix, int tokens) {
		this.sequence++;
		if (this.sequence % LOSS_INTERVAL == 0) {
			return;
		}
		this.events.addLast(new TimedEvent(this.clock.instant(), new CacheEvent(this.sequence, kind, prefix, tokens)));
		if (this.events.size() > MAXIMUM_RETAINED_EVENTS) {
			this.events.removeFirst();
		}
	}

	synchronized CacheEventList after(long after) {
		Instant horizon = this.clock.instant().minus(this.lag);
		return new CacheEventList(this.events.stream()
			.filter((timed) -> timed.event().sequence() > after && !timed.at().isAfter(horizon))
			.map(TimedEvent::event)
			.toList());
	}

	record CacheEvent(long sequence, String kind, String prefix, int tokens) {
	}

	record CacheEventList(List<CacheEvent> events) {
	}

	private record TimedEvent(Instant at, CacheEvent event) {
	}

}
