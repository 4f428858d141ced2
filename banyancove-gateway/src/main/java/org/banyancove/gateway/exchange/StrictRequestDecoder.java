package org.banyancove.gateway.exchange;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Refuses a request that states its length in two ways.
 * <p>
 * The two may be read differently behind us, so that a second request could be hidden in
 * the first one's body. A rejected request is never passed on.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	StrictRequestDecoder(int maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both a length and chunks are stated");
	}

}
