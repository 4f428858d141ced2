package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Writes and reads the fields of binary messages.
 */
final class BinaryFields {

	private static final int SEVEN_BITS = 0x7f;

	private static final int CONTINUES = 0x80;

	private BinaryFields() {
	}

	/**
	 * Writes a number that is mostly small, in seven bits a byte.
	 * @param out where to
	 * @param value the number, not negative
	 */
	static void writeNumber(ByteBuf out, long value) {
		long left = value;
		while ((left & ~SEVEN_BITS) != 0) {
			out.writeByte((int) (left & SEVEN_BITS) | CONTINUES);
			left >>>= Byte.SIZE - 1;
		}
		out.writeByte((int) left);
	}

	static long readNumber(ByteBuf in) {
		long value = 0;
		for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE - 1) {
			int next = in.readByte();
			value |= (long) (next & SEVEN_BITS) << shift;
			if ((next & CONTINUES) == 0) {
				return value;
			}
		}
		throw new IllegalArgumentException("a number must have at most 64 bits");
	}

	/**
	 * Reads the number of entries that follow.
	 * @param in where from
	 * @return the number
	 * @throws IllegalArgumentException if so many cannot follow
	 */
	static int readCount(ByteBuf in) {
		long count = readNumber(in);
		if (count < 0 || count > in.readableBytes()) {
			throw new IllegalArgumentException("count must be from 0 to " + in.readableBytes() + ": " + count);
		}
		return (int) count;
	}

	static void writeText(ByteBuf out, String text) {
		writeBytes(out, text.getBytes(StandardCharsets.UTF_8));
	}

	static String readText(ByteBuf in) {
		return new String(readBytes(in), StandardCharsets.UTF_8);
	}

	static void writeBytes(ByteBuf out, byte[] bytes) {
		writeNumber(out, bytes.length);
		out.writeBytes(bytes);
	}

	static byte[] readBytes(ByteBuf in) {
		byte[] bytes = new byte[readCount(in)];
		in.readBytes(bytes);
		return bytes;
	}

}
