package org.banyancove.gateway.resumption;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

/**
 * The origins of streams that this gateway remembers, bounded in number and age.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
public final class StreamOriginTable {

	/** Time after its first event within which a stream can be resumed. */
	private static final Duration RETENTION = Duration.ofMinutes(1);

	private static final int MAXIMUM_ORIGINS = 16_384;

	/** Ordered by the time of their recording, the oldest first. */
	private final Map<StreamKey, TimedOrigin> origins = new LinkedHashMap<>();

	/**
	 * Records an origin.
	 * @param stream the stream
	 * @param origin its origin
	 * @param age the time since the stream began
	 * @param now the current time
	 */
	public void put(StreamKey stream, StreamOrigin origin, Duration age, long now) {
		this.origins.remove(stream);
		this.origins.put(stream, new TimedOrigin(origin, now - age.toNanos()));
		if (this.origins.size() > MAXIMUM_ORIGINS) {
			this.origins.remove(this.origins.keySet().iterator().next());
		}
	}

	/**
	 * Returns the origin of a stream.
	 * @param stream the stream
	 * @param now the current time
	 * @return the origin, or {@code null} if it is not remembered
	 */
	public @Nullable KnownOrigin find(StreamKey stream, long now) {
		TimedOrigin found = this.origins.get(stream);
		return (found != null && !found.isExpired(now)) ? found.known(now) : null;
	}

	/**
	 * Passes all remembered origins to a consumer.
	 * @param consumer receives each stream and its origin
	 * @param now the current time
	 */
	public void forEach(BiConsumer<StreamKey, KnownOrigin> consumer, long now) {
		this.origins.forEach((stream, origin) -> {
			if (!origin.isExpired(now)) {
				consumer.accept(stream, origin.known(now));
			}
		});
	}

	/**
	 * Forgets the origins whose retention has passed.
	 * @param now the current time
	 */
	public void expire(long now) {
		Iterator<TimedOrigin> oldestFirst = this.origins.values().iterator();
		while (oldestFirst.hasNext() && oldestFirst.next().isExpired(now)) {
			oldestFirst.remove();
		}
	}

	/**
	 * Returns the number of remembered origins.
	 * @return the number
	 */
	public int size() {
		return this.origins.size();
	}

	private record TimedOrigin(StreamOrigin origin, long beganAt) {

		boolean isExpired(long now) {
			return now - this.beganAt > RETENTION.toNanos();
		}

		KnownOrigin known(long now) {
			return new KnownOrigin(this.origin, KnownOrigin.Source.RECORD, Duration.ofNanos(now - this.beganAt));
		}

	}

}
