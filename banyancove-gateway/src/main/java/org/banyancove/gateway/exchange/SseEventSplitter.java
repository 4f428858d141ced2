package org.banyancove.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Splits a server-sent event stream into complete events, and filters out those that were
 * delivered before.
 * <p>
 * An engine may fail within an event. The caller receives complete events only, so that
 * the stream can be resumed on another engine without a truncated or duplicate event.
 */
final class SseEventSplitter {

	/**
	 * No event of a token stream is as long; the limit bounds the memory in use.
	 */
	private static final int MAXIMUM_EVENT_BYTES = 128 << 10;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] NO_EVENTS = {};

	private byte[] buffer = new byte[512];

	private int length;

	/** The bytes of the partial event that contain no event's end. */
	private int scanned;

	private int forwardedEvents;

	private @Nullable String lastEventId;

	SseEventSplitter(@Nullable String lastEventId) {
		this.lastEventId = lastEventId;
	}

	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the number of events that were returned by {@link #read}.
	 * @return the number
	 */
	int forwardedEvents() {
		return this.forwardedEvents;
	}

	/**
	 * Returns whether another engine can continue the stream after the forwarded events.
	 * @return {@code false} if events without ids were forwarded
	 */
	boolean isContinuable() {
		return this.forwardedEvents == 0 || this.lastEventId != null;
	}

	/**
	 * Returns whether the stream can end here.
	 * @return whether no partial event is buffered
	 */
	boolean isAtEventBoundary() {
		return this.length == 0;
	}

	/** Discards the partial event of an engine that failed. */
	void discardPartialEvent() {
		this.length = 0;
		this.scanned = 0;
	}

	/**
	 * Reads the next bytes of the stream.
	 * @param content the bytes
	 * @return the events that are complete now, unchanged; empty if there are none
	 * @throws IllegalStateException if an event exceeds the maximum length
	 */
	byte[] read(ByteBuf content) {
		int added = content.readableBytes();
		if (this.length + added > MAXIMUM_EVENT_BYTES) {
			throw new IllegalStateException("event must have at most " + MAXIMUM_EVENT_BYTES + " bytes");
		}
		if (this.length + added > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(this.buffer.length * 2, this.length + added));
		}
		content.getBytes(content.readerIndex(), this.buffer, this.length, added);
		this.length += added;
		return extractComplete();
	}

	private byte[] extractComplete() {
		// Up to two bytes before may belong to the end of an event.
		int firstEnd = findEventEnd(Math.max(0, this.scanned - 2));
		if (firstEnd < 0) {
			this.scanned = this.length;
			return NO_EVENTS;
		}
		byte[] complete = new byte[this.length];
		int count = 0;
		int start = 0;
		for (int end = firstEnd; end > 0; end = findEventEnd(start)) {
			if (isNew(start, end)) {
				this.forwardedEvents++;
				System.arraycopy(this.buffer, start, complete, count, end - start);
				count += end - start;
			}
			start = end;
		}
		System.arraycopy(this.buffer, start, this.buffer, 0, this.length - start);
		this.length -= start;
		this.scanned = this.length;
		return Arrays.copyOf(complete, count);
	}

	// Returns the index after the blank line that ends an event, or -1.
	private int findEventEnd(int start) {
		for (int i = start; i + 1 < this.length; i++) {
			if (this.buffer[i] != '\n') {
				continue;
			}
			if (this.buffer[i + 1] == '\n') {
				return i + 2;
			}
			if (this.buffer[i + 1] == '\r' && i + 2 < this.length && this.buffer[i + 2] == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	private boolean isNew(int start, int end) {
		String id = readId(start, end);
		if (id == null) {
			return true;
		}
		if (this.lastEventId != null && compare(id, this.lastEventId) <= 0) {
			return false;
		}
		this.lastEventId = id;
		return true;
	}

	private static int compare(String left, String right) {
		try {
			return Long.compare(Long.parseLong(left), Long.parseLong(right));
		}
		catch (NumberFormatException ex) {
			// Non-numeric ids have no order; a different id is a new event.
			return left.equals(right) ? 0 : 1;
		}
	}

	private @Nullable String readId(int start, int end) {
		int lineStart = start;
		for (int i = start; i < end; i++) {
			if (this.buffer[i] == '\n') {
				if (i - lineStart > ID_FIELD.length && Arrays.equals(this.buffer, lineStart,
						lineStart + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
					return new String(this.buffer, lineStart + ID_FIELD.length, i - lineStart - ID_FIELD.length,
							StandardCharsets.UTF_8)
						.trim();
				}
				lineStart = i + 1;
			}
		}
		return null;
	}

}
