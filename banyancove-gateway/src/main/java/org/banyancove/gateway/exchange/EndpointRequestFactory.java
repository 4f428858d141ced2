package org.banyancove.gateway.exchange;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.shared.EndpointCall;
import org.banyancove.gateway.shared.HeaderCodec;
import org.jspecify.annotations.Nullable;

/**
 * Creates the requests to endpoints for one request of a caller.
 */
final class EndpointRequestFactory {

	private final HeaderCodec headerCodec;

	private final CallerRequest request;

	private final RoutingDecision.Accepted accepted;

	EndpointRequestFactory(HeaderCodec headerCodec, CallerRequest request, RoutingDecision.Accepted accepted) {
		this.headerCodec = headerCodec;
		this.request = request;
		this.accepted = accepted;
	}

	/**
	 * Creates a request to an endpoint.
	 * @param placement the endpoint
	 * @param remaining the time until the caller's deadline
	 * @param lastEventId the id of the event after which to resume the stream, or
	 * {@code null}
	 * @return the request, which shares the body of the caller's request
	 */
	FullHttpRequest create(Placement placement, Duration remaining, @Nullable String lastEventId) {
		ByteBuf body = this.request.body().retainedDuplicate();
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.head().method(),
				this.request.head().uri(), body);
		HttpHeaders headers = copy.headers();
		EndToEndHeaders.copy(this.request.head().headers(), headers);
		headers.names()
			.stream()
			.filter((name) -> !this.headerCodec.isForwarded(name))
			.toList()
			.forEach(headers::remove);
		if (body.isReadable() || this.request.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		ClientAccount account = this.accepted.account();
		this.headerCodec.writeCall(headers,
				new EndpointCall(placement.endpoint().id(), remaining, (account != null) ? account.name() : null,
						priority(account), lastEventId,
						(placement.prefixSource() != null) ? placement.prefixSource().entry().address() : null));
		return copy;
	}

	private @Nullable Integer priority(@Nullable ClientAccount account) {
		if (!this.accepted.service().generatesTokens()) {
			return null;
		}
		Integer accountPriority = (account != null) ? account.priority() : null;
		return Math.clamp((accountPriority != null) ? accountPriority : this.accepted.route().priority(), 0, 9);
	}

}
