package org.banyancove.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Finds the beginnings of status lines in a sequence of bytes, however it is divided.
 */
final class StatusLineScanner {

	private static final byte FIRST_BYTE = 'H';

	/**
	 * The beginning of a status line; {@code d} stands for a digit, {@code e} for the
	 * space or the end of the line after the status.
	 */
	private static final byte[] PATTERN = "HTTP/1.d ddde".getBytes(StandardCharsets.US_ASCII);

	private long position;

	private int matched;

	private boolean foundAtStart;

	private boolean foundAfterStart;

	/** Begins another sequence. */
	void reset() {
		this.position = 0;
		this.matched = 0;
		this.foundAtStart = false;
		this.foundAfterStart = false;
	}

	/**
	 * Reads more bytes of the sequence, without consuming them.
	 * @param bytes the buffer
	 * @param from the index of the first byte
	 * @param to the index after the last byte
	 */
	void scan(ByteBuf bytes, int from, int to) {
		int index = from;
		while (index < to) {
			if (this.matched == 0) {
				int first = bytes.indexOf(index, to, FIRST_BYTE);
				int next = (first >= 0) ? first : to;
				this.position += next - index;
				index = next;
			}
			if (index < to) {
				scan(bytes.getByte(index));
				index++;
			}
		}
	}

	// Only the first byte of the pattern can begin another match.
	private void scan(byte value) {
		this.position++;
		this.matched = matches(value, this.matched) ? this.matched + 1 : (value == FIRST_BYTE) ? 1 : 0;
		if (this.matched == PATTERN.length) {
			this.foundAtStart |= this.position == PATTERN.length;
			this.foundAfterStart |= this.position > PATTERN.length;
			this.matched = 0;
		}
	}

	private static boolean matches(byte value, int index) {
		return switch (PATTERN[index]) {
			case 'd' -> value >= '0' && value <= '9';
			case 'e' -> value == ' ' || value == '\r';
			default -> value == PATTERN[index];
		};
	}

	/**
	 * Returns whether a sequence that goes on with some bytes can begin with a status
	 * line.
	 * @param bytes the bytes, which are not consumed
	 * @return {@code false} if its first bytes are no status line
	 */
	boolean mayBeginWithStatusLine(ByteBuf bytes) {
		int length = (int) Math.min(PATTERN.length - this.position, bytes.readableBytes());
		for (int i = 0; i < length; i++) {
			if (!matches(bytes.getByte(bytes.readerIndex() + i), (int) this.position + i)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether the last bytes of the sequence and those that follow it begin a
	 * status line.
	 * @param following the bytes, which are not consumed
	 * @return {@code true} if a status line may extend over the end of the sequence
	 */
	boolean extendsOver(ByteBuf following) {
		int length = Math.min(PATTERN.length - this.matched, following.readableBytes());
		for (int i = 0; i < length; i++) {
			if (!matches(following.getByte(following.readerIndex() + i), this.matched + i)) {
				return false;
			}
		}
		return this.matched > 0 && length > 0;
	}

	/**
	 * Returns whether the sequence ends with the beginning of a status line.
	 * @param minimum the least number of bytes
	 * @return {@code false} if the beginning is shorter or missing
	 */
	boolean endsWithBeginning(int minimum) {
		return this.matched >= minimum;
	}

	/**
	 * Returns whether the sequence is the beginning of a status line.
	 * @param minimum the least number of bytes
	 * @return {@code false} if it is shorter or has other bytes
	 */
	boolean isBeginning(int minimum) {
		return this.position >= minimum && this.matched == this.position;
	}

	/**
	 * Returns whether the sequence begins with a status line.
	 * @return whether its first bytes are a status line
	 */
	boolean foundAtStart() {
		return this.foundAtStart;
	}

	/**
	 * Returns whether a status line begins after the first byte.
	 * @return whether the sequence has such a status line
	 */
	boolean foundAfterStart() {
		return this.foundAfterStart;
	}

}
