package org.banyancove.gateway.tunnel;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to connect to an endpoint: directly and, while a partition is suspected,
 * through other gateways at the same time. The first connection is used.
 */
final class ConnectAttempt {

	/**
	 * Time that a direct connection has before a tunnel is opened beside it, while a
	 * partition is suspected: some round trips within a region.
	 */
	private static final Duration HEAD_START = Duration.ofMillis(15);

	/** Lower bound of a tunnel's timeout; it takes three round trips. */
	private static final Duration MINIMUM_TUNNEL_TIMEOUT = Duration.ofMillis(100);

	private static final int MAXIMUM_PEERS = 3;

	private final EndpointConnector connector;

	private final InetSocketAddress address;

	private final Duration timeout;

	private final ConnectContext context;

	private final EventLoop eventLoop;

	private final Promise<ConnectedChannel> result;

	private final Set<String> triedPeers = new HashSet<>();

	private long tunnelsStartedAt;

	private boolean directPending;

	private boolean tunnelPending;

	private boolean tunnelsExhausted;

	private @Nullable Throwable directFailure;

	ConnectAttempt(EndpointConnector connector, InetSocketAddress address, Duration timeout, ConnectContext context,
			EventLoop eventLoop) {
		this.connector = connector;
		this.address = address;
		this.timeout = timeout;
		this.context = context;
		this.eventLoop = eventLoop;
		this.result = eventLoop.newPromise();
	}

	Future<ConnectedChannel> start() {
		long now = this.connector.now();
		DirectPaths paths = this.connector.paths();
		if (!paths.partitionSuspected(this.context, now)) {
			connectDirectly();
		}
		else if (!paths.failedRecently(this.address, now)) {
			connectDirectly();
			this.eventLoop.schedule(this::openTunnel, HEAD_START.toMillis(), TimeUnit.MILLISECONDS);
		}
		else {
			if (paths.claimRetry(this.address, now)) {
				connectDirectly();
			}
			else {
				this.directFailure = new ConnectException("unreachable directly lately: " + this.address);
			}
			openTunnel();
		}
		return this.result;
	}

	private void connectDirectly() {
		this.directPending = true;
		this.connector.connectDirectly(this.address, this.timeout).addListener(this::directEnded);
	}

	private void directEnded(Future<? super ConnectedChannel> connected) {
		this.directPending = false;
		long now = this.connector.now();
		if (connected.isSuccess()) {
			this.connector.paths().recordSuccess(this.address, now);
			succeed((ConnectedChannel) connected.getNow());
			return;
		}
		this.directFailure = connected.cause();
		this.connector.paths()
			.recordFailure(this.address, this.context.service(), EndpointConnector.isTimeout(connected.cause()), now);
		if (this.connector.paths().partitionSuspected(this.context, now)) {
			openTunnel();
		}
		failIfExhausted();
	}

	private void openTunnel() {
		if (this.result.isDone() || this.tunnelPending || this.tunnelsExhausted) {
			return;
		}
		TunnelPeer peer = mayTryPeer() ? this.connector.peers().choose(this.triedPeers, this.connector.now()) : null;
		if (peer == null) {
			this.tunnelsExhausted = true;
			failIfExhausted();
			return;
		}
		if (this.triedPeers.isEmpty()) {
			this.tunnelsStartedAt = this.connector.now();
		}
		this.triedPeers.add(peer.name());
		this.tunnelPending = true;
		this.connector.openTunnel(this.address, peer, peerTimeout(), this.context.requestId())
			.addListener((Future<ConnectedChannel> opened) -> tunnelEnded(peer, opened));
	}

	private boolean mayTryPeer() {
		return this.triedPeers.isEmpty()
				|| (this.triedPeers.size() < MAXIMUM_PEERS && elapsedTunnelTime().compareTo(tunnelTimeout()) < 0);
	}

	private Duration tunnelTimeout() {
		return (this.timeout.compareTo(MINIMUM_TUNNEL_TIMEOUT) > 0) ? this.timeout : MINIMUM_TUNNEL_TIMEOUT;
	}

	// All peers together take at most half as long again as one of them.
	private Duration peerTimeout() {
		Duration left = tunnelTimeout().multipliedBy(3).dividedBy(2).minus(elapsedTunnelTime());
		return (left.compareTo(tunnelTimeout()) < 0) ? left : tunnelTimeout();
	}

	private Duration elapsedTunnelTime() {
		return Duration.ofNanos(this.connector.now() - this.tunnelsStartedAt);
	}

	private void tunnelEnded(TunnelPeer peer, Future<ConnectedChannel> opened) {
		this.tunnelPending = false;
		if (opened.isSuccess()) {
			this.connector.peers().recordSuccess(peer, this.connector.now());
			this.context.listener().tunnelOpened(this.context.requestId(), this.address, peer.name());
			succeed(opened.getNow());
			return;
		}
		this.connector.peers().recordFailure(peer, this.connector.now());
		this.context.listener()
			.tunnelFailed(this.context.requestId(), this.address, peer.name(), String.valueOf(opened.cause()));
		openTunnel();
	}

	private void succeed(ConnectedChannel connected) {
		if (!this.result.trySuccess(connected)) {
			connected.channel().close();
		}
	}

	private void failIfExhausted() {
		Throwable failure = this.directFailure;
		if (!this.directPending && !this.tunnelPending && failure != null) {
			this.result.tryFailure(failure);
		}
	}

}
