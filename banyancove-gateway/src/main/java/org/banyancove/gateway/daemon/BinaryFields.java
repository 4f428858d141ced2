package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Writes and reads the fields of binary messages.
 */
final class BinaryFields {

	private static final int PAYLOAD_MASK = 0x7f;

	private static final int CONTINUATION_BIT = 0x80;

	private BinaryFields() {
	}

	/**
	 * Writes a number as a variable-length integer with seven bits in each byte, which is
	 * short for small numbers.
	 * @param out the output
	 * @param value the number, not negative
	 */
	static void writeVarint(ByteBuf out, long value) {
		long remaining = value;
		while ((remaining & ~PAYLOAD_MASK) != 0) {
			out.writeByte((int) (remaining & PAYLOAD_MASK) | CONTINUATION_BIT);
			remaining >>>= Byte.SIZE - 1;
		}
		out.writeByte((int) remaining);
	}

	static long readVarint(ByteBuf in) {
		long value = 0;
		for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE - 1) {
			int next = in.readByte();
			value |= (long) (next & PAYLOAD_MASK) << shift;
			if ((next & CONTINUATION_BIT) == 0) {
				return value;
			}
		}
		throw new IllegalArgumentException("varint must have at most 64 bits");
	}

	/**
	 * Reads the number of entries that follow.
	 * @param in the input
	 * @return the number of entries
	 * @throws IllegalArgumentException if the input cannot contain that many entries
	 */
	static int readCount(ByteBuf in) {
		long count = readVarint(in);
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
		writeVarint(out, bytes.length);
		out.writeBytes(bytes);
	}

	static byte[] readBytes(ByteBuf in) {
		byte[] bytes = new byte[readCount(in)];
		in.readBytes(bytes);
		return bytes;
	}

}
