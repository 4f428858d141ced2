package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * The memory that the requests of one caller's connection take: those that are being
 * read, wait or are in progress. Confined to the event loop thread.
 */
final class CallerMemory {

	/**
	 * The bytes of a connection that no other connection's requests can take away, so
	 * that small requests are served beside many large ones.
	 */
	private static final int OWN_BYTES = 16 << 10;

	/** The objects of a header beside its text. */
	private static final int HEADER_OVERHEAD_BYTES = 128;

	private final BodyMemory shared;

	private int used;

	private int reserved;

	CallerMemory(BodyMemory shared) {
		this.shared = shared;
	}

	/**
	 * Returns the memory that the head of a request takes.
	 * @param head the head
	 * @return the number of bytes
	 */
	static int sizeOf(HttpRequest head) {
		int bytes = HEADER_OVERHEAD_BYTES + head.uri().length();
		var headers = head.headers().iteratorCharSequence();
		while (headers.hasNext()) {
			var header = headers.next();
			bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	/**
	 * Returns the memory that a complete request takes.
	 * @param request the request
	 * @return the number of bytes
	 */
	static int sizeOf(CallerRequest request) {
		return sizeOf(request.head()) + request.body().capacity();
	}

	/**
	 * Takes memory.
	 * @param bytes the number of bytes
	 * @return {@code false} if the requests of all callers take too much
	 */
	boolean tryTake(int bytes) {
		int missing = this.used + bytes - OWN_BYTES - this.reserved;
		if (missing > 0) {
			if (!this.shared.tryReserve(missing)) {
				return false;
			}
			this.reserved += missing;
		}
		this.used += bytes;
		return true;
	}

	/**
	 * Enlarges a body that is being read.
	 * @param body the body
	 * @param added the number of bytes that are to be written to it
	 * @param maximum its maximum size
	 * @return {@code false} if the requests of all callers take too much memory
	 */
	boolean tryEnlarge(ByteBuf body, int added, int maximum) {
		int capacity = body.capacity();
		int needed = body.readableBytes() + added;
		if (needed <= capacity) {
			return true;
		}
		int enlarged = Math.max(needed, Math.min(2 * capacity, maximum));
		if (!tryTake(enlarged - capacity)) {
			return false;
		}
		body.capacity(enlarged);
		return true;
	}

	/**
	 * Gives memory back.
	 * @param bytes the number of bytes
	 */
	void giveBack(int bytes) {
		this.used -= bytes;
		int unneeded = Math.min(this.reserved, this.reserved - (this.used - OWN_BYTES));
		if (unneeded > 0) {
			this.reserved -= unneeded;
			this.shared.release(unneeded);
		}
	}

	/** Gives all memory back. */
	void giveBackAll() {
		giveBack(this.used);
	}

}
