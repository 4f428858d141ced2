package org.banyancove.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Creates the error responses that the gateway itself produces.
 */
final class ErrorResponse {

	private ErrorResponse() {
	}

	static FullHttpResponse of(ErrorKind kind, @Nullable Duration retryAfter) {
		byte[] body = ("{\"error\":\"" + kind.code() + "\"}").getBytes(StandardCharsets.US_ASCII);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(kind.status()), Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		if (retryAfter != null) {
			response.headers()
				.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1e3));
		}
		return response;
	}

}
