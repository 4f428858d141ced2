package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.shared.EndpointCall;
import org.banyancove.gateway.shared.StoppedRun;
import org.banyancove.gateway.tunnel.ConnectContext;
import org.jspecify.annotations.Nullable;

/**
 * Creates the requests to endpoints for one request of a caller, and the options of their
 * connections.
 */
final class EndpointRequestFactory {

	private final RequestDispatcher dispatcher;

	private final CallerRequest request;

	private final String requestId;

	private final RoutingDecision.Accepted accepted;

	private final Set<InetSocketAddress> usedAddresses = new HashSet<>();

	EndpointRequestFactory(RequestDispatcher dispatcher, CallerRequest request, String requestId,
			RoutingDecision.Accepted accepted) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.requestId = requestId;
		this.accepted = accepted;
	}

	/**
	 * Creates a request to an endpoint.
	 * @param placement the endpoint
	 * @param remaining the time until the caller's deadline
	 * @param lastEventId the id of the event after which to resume the stream, or
	 * {@code null}
	 * @param continued the run that the endpoint continues, or {@code null} if it begins
	 * one
	 * @return the request, which shares the body of the caller's request
	 */
	FullHttpRequest create(Placement placement, Duration remaining, @Nullable String lastEventId,
			@Nullable StoppedRun continued) {
		ByteBuf body = this.request.body().retainedDuplicate();
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.head().method(),
				this.request.head().uri(), body);
		HttpHeaders headers = copy.headers();
		EndToEndHeaders.copy(this.request.head().headers(), headers);
		headers.names()
			.stream()
			.filter((name) -> !this.dispatcher.headerCodec().isForwarded(name))
			.toList()
			.forEach(headers::remove);
		if (body.isReadable() || this.request.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		ClientAccount account = this.accepted.account();
		this.dispatcher.headerCodec()
			.writeCall(headers, new EndpointCall(placement.endpoint().id(), remaining,
					(account != null) ? account.name() : null, priority(account), lastEventId,
					(placement.prefixSource() != null) ? placement.prefixSource().entry().address() : null, continued));
		return copy;
	}

	private @Nullable Integer priority(@Nullable ClientAccount account) {
		if (!this.accepted.service().generatesTokens()) {
			return null;
		}
		Integer accountPriority = (account != null) ? account.priority() : null;
		return Math.clamp((accountPriority != null) ? accountPriority : this.accepted.route().priority(), 0, 9);
	}

	/**
	 * Returns the connection options of the next attempt. A late response to an earlier
	 * attempt states the same request id, so that attempts must not share a connection.
	 * @param address the address of the attempt's endpoint
	 * @return the options, with a dedicated connection for a further attempt at an
	 * address
	 */
	CallOptions options(InetSocketAddress address) {
		return options(!this.usedAddresses.add(address));
	}

	private CallOptions options(boolean dedicated) {
		return CallOptions.forRequest(this.accepted.route().repeatable(), dedicated,
				this.dispatcher.admission().connectTimeout(this.accepted.route()),
				this.dispatcher.connectionLimit(this.accepted.service()), connectContext());
	}

	/**
	 * Returns the options of a call about a stream in progress. Each stream at an
	 * endpoint that leaves needs a second connection, and new requests need none there.
	 * @return the options
	 */
	CallOptions moveOptions() {
		CallOptions options = options(true);
		ConnectionLimit limit = options.connections();
		return new CallOptions(options.connectTimeout(), options.maximumIdleTime(),
				new ConnectionLimit(2 * limit.open(), limit.kept()), options.context(), options.dedicated());
	}

	ConnectContext connectContext() {
		return new ConnectContext(this.accepted.service().name(),
				this.dispatcher.endpoints().count(this.accepted.service().name()), this.requestId,
				this.dispatcher.requestLog());
	}

}
