package org.banyancove.gateway.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import org.banyancove.core.AccountName;
import org.banyancove.core.suspect.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * A complete request received from a caller.
 *
 * @param head the method, URI and headers
 * @param body the body, in a heap buffer
 * @param arrivedAt the monotonic time at which the last byte was read, in ns
 */
record CallerRequest(HttpRequest head, ByteBuf body, long arrivedAt) {

	/**
	 * Returns the fingerprint that all copies of this request have in common, whichever
	 * gateway they arrive at.
	 * @param account the client account, or {@code null} for an anonymous request
	 * @return the fingerprint
	 */
	Fingerprint fingerprint(@Nullable AccountName account) {
		return Fingerprint.of(bytes(this.head.method().name()), bytes(this.head.headers().get(HttpHeaderNames.HOST)),
				bytes(this.head.uri()), bytes((account != null) ? account.value() : null), checksums(this.body));
	}

	// Checksums take a small part of the time of a digest of the body. Bodies with equal
	// checksums are only confused within a client account.
	private static ByteBuffer checksums(ByteBuf body) {
		CRC32 first = new CRC32();
		first.update(body.nioBuffer());
		CRC32C second = new CRC32C();
		second.update(body.nioBuffer());
		return ByteBuffer.allocate(Integer.BYTES + 2 * Long.BYTES)
			.putInt(body.readableBytes())
			.putLong(first.getValue())
			.putLong(second.getValue())
			.flip();
	}

	private static ByteBuffer bytes(@Nullable String text) {
		return ByteBuffer.wrap(((text != null) ? text : "").getBytes(StandardCharsets.UTF_8));
	}

}
