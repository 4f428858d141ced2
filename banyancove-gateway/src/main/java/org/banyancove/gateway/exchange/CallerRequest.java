package org.banyancove.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import org.banyancove.core.AccountName;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.resumption.StreamKey;
import org.jspecify.annotations.Nullable;

/**
 * A complete request received from a caller.
 *
 * @param head the method, URI and headers
 * @param body the body, in a heap buffer
 * @param arrivedAt the monotonic time at which the last byte was read, in ns
 */
record CallerRequest(HttpRequest head, ByteBuf body, long arrivedAt) {

	private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

	/**
	 * Returns the fingerprint that all copies of this request have in common, whichever
	 * gateway they arrive at.
	 * @param account the client account, or {@code null} for an anonymous request
	 * @return the fingerprint
	 */
	Fingerprint fingerprint(@Nullable AccountName account) {
		return new Fingerprint(hash(account), contentChecksum());
	}

	/**
	 * Returns the key of the stream that a request with the same path began.
	 * @param requestId the id of that request
	 * @param account the client account, or {@code null} for an anonymous request
	 * @return the key
	 */
	StreamKey streamKey(String requestId, @Nullable AccountName account) {
		CRC32 first = new CRC32();
		CRC32C second = new CRC32C();
		String text = requestId + '\n' + this.head.headers().get(HttpHeaderNames.HOST) + this.head.uri();
		update(first, second, text.getBytes(StandardCharsets.UTF_8));
		return new StreamKey(hash(account), first.getValue() << Integer.SIZE | second.getValue());
	}

	// Another account cannot obtain the same value by its choice of a request.
	private static long hash(@Nullable AccountName account) {
		long hash = 0;
		for (char character : ((account != null) ? account.value() : "").toCharArray()) {
			hash = (hash ^ character) * HASH_MULTIPLIER;
		}
		return hash;
	}

	// Unlike a digest, checksums are also fast in code that is not compiled yet.
	private long contentChecksum() {
		CRC32 first = new CRC32();
		CRC32C second = new CRC32C();
		update(first, second, (this.head.method().name() + ' ' + this.head.headers().get(HttpHeaderNames.HOST)
				+ this.head.uri() + '\n')
			.getBytes(StandardCharsets.UTF_8));
		update(first, second, ByteBufUtil.getBytes(this.body));
		return first.getValue() << Integer.SIZE | second.getValue();
	}

	private static void update(Checksum first, Checksum second, byte[] bytes) {
		first.update(bytes, 0, bytes.length);
		second.update(bytes, 0, bytes.length);
	}

}
