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
 * The answers that the gateway gives itself when a request fails.
 */
final class FailureAnswer {

	private FailureAnswer() {
	}

	static FullHttpResponse of(ErrorKind kind, @Nullable Duration retryAfter) {
		byte[] body = ("{\"error\":\"" + kind.code() + "\"}").getBytes(StandardCharsets.US_ASCII);
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(kind.status()), Unpooled.wrappedBuffer(body));
		answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		if (retryAfter != null) {
			answer.headers()
				.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1e3));
		}
		return answer;
	}

}
