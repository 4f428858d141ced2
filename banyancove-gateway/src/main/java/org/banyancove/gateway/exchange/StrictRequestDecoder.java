package org.banyancove.gateway.exchange;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Rejects a request that has both a {@code Content-Length} and chunked encoding.
 * <p>
 * A server behind the gateway may interpret the two differently, so that a second request
 * could be smuggled in the body of the first. A rejected request is never forwarded.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	StrictRequestDecoder(int maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("request must not have both Content-Length and chunked Transfer-Encoding");
	}

}
