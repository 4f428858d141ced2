package org.banyancove.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds lines of a head that are no headers, such as those with a blank in or after the
 * name. The general decoder reads some of them as headers, of another name or without a
 * value.
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
		this.part = switch (this.part) {
			case STATUS_LINE -> (read == '\n') ? Part.FIRST_LINE_START : this.part;
			case VALUE -> (read == '\n') ? Part.LINE_START : this.part;
			case FIRST_LINE_START -> isSpace(read) ? other() : lineStart(read);
			case LINE_START -> isSpace(read) ? Part.VALUE : lineStart(read);
			case NAME -> (read == ':') ? Part.VALUE : name(read);
			case HEAD_END -> (read == '\n') ? Part.LINE_START : other();
		};
	}

	private Part lineStart(char read) {
		return switch (read) {
			case '\r' -> Part.HEAD_END;
			case '\n' -> Part.LINE_START;
			default -> name(read);
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

		STATUS_LINE, FIRST_LINE_START, LINE_START, NAME, VALUE, HEAD_END

	}

}
