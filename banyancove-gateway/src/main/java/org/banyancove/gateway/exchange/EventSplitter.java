package org.banyancove.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream into whole events, and leaves out those that were delivered before.
 * <p>
 * An engine may stop within an event; the caller gets whole ones only, so that the stream
 * can go on at another engine without a torn or repeated event.
 */
final class EventSplitter {

	/**
	 * An event this long is no event of a token stream; it would only fill the memory.
	 */
	private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] pending = new byte[512];

	private int length;

	private @Nullable String lastEvent;

	EventSplitter(@Nullable String lastEvent) {
		this.lastEvent = lastEvent;
	}

	@Nullable String lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns whether no part of an event is left over.
	 * @return whether the stream can end here
	 */
	boolean clean() {
		return this.length == 0;
	}

	/** Drops the part of an event that a broken engine left. */
	void restart() {
		this.length = 0;
	}

	/**
	 * Reads bytes.
	 * @param content the bytes
	 * @return the events that are whole now, as they came; empty if there are none
	 * @throws IllegalStateException if an event is too long
	 */
	byte[] read(ByteBuf content) {
		int added = content.readableBytes();
		if (this.length + added > MAXIMUM_EVENT_BYTES) {
			throw new IllegalStateException("event must have at most " + MAXIMUM_EVENT_BYTES + " bytes");
		}
		if (this.length + added > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(this.pending.length * 2, this.length + added));
		}
		content.getBytes(content.readerIndex(), this.pending, this.length, added);
		this.length += added;
		return takeWhole();
	}

	private byte[] takeWhole() {
		byte[] whole = new byte[this.length];
		int count = 0;
		int start = 0;
		for (int end = nextEnd(start); end > 0; end = nextEnd(start)) {
			if (isNew(start, end)) {
				System.arraycopy(this.pending, start, whole, count, end - start);
				count += end - start;
			}
			start = end;
		}
		System.arraycopy(this.pending, start, this.pending, 0, this.length - start);
		this.length -= start;
		return Arrays.copyOf(whole, count);
	}

	// Returns the index after the empty line that ends an event, or -1.
	private int nextEnd(int start) {
		for (int i = start; i + 1 < this.length; i++) {
			if (this.pending[i] != '\n') {
				continue;
			}
			if (this.pending[i + 1] == '\n') {
				return i + 2;
			}
			if (this.pending[i + 1] == '\r' && i + 2 < this.length && this.pending[i + 2] == '\n') {
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
		if (this.lastEvent != null && compare(id, this.lastEvent) <= 0) {
			return false;
		}
		this.lastEvent = id;
		return true;
	}

	private static int compare(String left, String right) {
		try {
			return Long.compare(Long.parseLong(left), Long.parseLong(right));
		}
		catch (NumberFormatException ex) {
			// Identifiers that are no numbers have no order; a changed one is new.
			return left.equals(right) ? 0 : 1;
		}
	}

	private @Nullable String readId(int start, int end) {
		int line = start;
		for (int i = start; i < end; i++) {
			if (this.pending[i] == '\n') {
				if (i - line > ID.length && Arrays.equals(this.pending, line, line + ID.length, ID, 0, ID.length)) {
					return new String(this.pending, line + ID.length, i - line - ID.length, StandardCharsets.UTF_8)
						.trim();
				}
				line = i + 1;
			}
		}
		return null;
	}

}
