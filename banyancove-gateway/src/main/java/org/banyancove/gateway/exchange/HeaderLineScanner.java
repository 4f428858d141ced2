package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;

/**
 * Finds lines of a head that are no headers, which the general decoder reads as headers
 * without a value: bytes that are no part of the head have cut a header in two.
 */
final class HeaderLineScanner {

	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	private Part part = Part.STATUS_LINE;

	private boolean foundOther;

	/** Begins another head. */
	void reset() {
		this.part = Part.STATUS_LINE;
		this.foundOther = false;
	}

	/**
	 * Reads more bytes of the head, without consuming them.
	 * @param bytes the buffer
	 * @param from the index of the first byte
	 * @param to the index after the last byte
	 */
	void scan(ByteBuf bytes, int from, int to) {
		for (int index = from; index < to; index++) {
			scan((char) (bytes.getByte(index) & 0xff));
		}
	}

	private void scan(char read) {
		if (read == '\n') {
			this.foundOther |= this.part == Part.NAME || this.part == Part.AFTER_NAME;
			this.part = Part.LINE_START;
			return;
		}
		this.part = switch (this.part) {
			case STATUS_LINE, VALUE -> this.part;
			case LINE_START -> (read == '\r') ? Part.LINE_START : isSpace(read) ? Part.VALUE : name(read);
			case NAME -> (read == ':') ? Part.VALUE : (isSpace(read) || read == '\r') ? Part.AFTER_NAME : name(read);
			case AFTER_NAME -> (read == ':') ? Part.VALUE : (isSpace(read) || read == '\r') ? Part.AFTER_NAME : other();
		};
	}

	private Part name(char read) {
		boolean letterOrDigit = read < 0x80 && Character.isLetterOrDigit(read);
		return (letterOrDigit || NAME_SYMBOLS.indexOf(read) >= 0) ? Part.NAME : other();
	}

	private Part other() {
		this.foundOther = true;
		return Part.VALUE;
	}

	private static boolean isSpace(char read) {
		return read == ' ' || read == '\t';
	}

	/**
	 * Returns whether the head has a line after its first that is no header.
	 * @return whether it has one
	 */
	boolean foundOther() {
		return this.foundOther;
	}

	/**
	 * The part of a line that is read.
	 */
	private enum Part {

		STATUS_LINE, LINE_START, NAME, AFTER_NAME, VALUE

	}

}
