package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.gateway.migration.SourceAnswer;
import org.banyancove.gateway.shared.StoppedRun;
import org.banyancove.gateway.shared.StreamMoveCodec;

/**
 * A codec of moves for tests, whose answers have the handle as their body.
 */
public final class TestMoveCodec implements StreamMoveCodec {

	@Override
	public FullHttpRequest moveRequest(InetSocketAddress source, String requestId, InetSocketAddress destination) {
		return request(HttpMethod.POST, "/move/" + requestId + "/" + destination.getPort());
	}

	@Override
	public FullHttpRequest releaseRequest(StoppedRun run) {
		return request(HttpMethod.DELETE, "/handle/" + run.handle());
	}

	private static FullHttpRequest request(HttpMethod method, String path) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.EMPTY_BUFFER);
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		return request;
	}

	@Override
	public SourceAnswer readAnswer(int status, byte[] body) {
		String handle = new String(body, StandardCharsets.US_ASCII);
		return switch (status) {
			case 200 -> new SourceAnswer.Copied(handle);
			case 404 -> new SourceAnswer.NoRun();
			case 409 -> new SourceAnswer.CallInProgress();
			case 503 -> handle.isEmpty() ? new SourceAnswer.Unknown() : new SourceAnswer.NotCopied(handle);
			default -> new SourceAnswer.Unknown();
		};
	}

}
