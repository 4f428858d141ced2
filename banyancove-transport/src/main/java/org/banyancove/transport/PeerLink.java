package org.banyancove.transport;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import org.banyancove.wire.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * The link to one peer: a bounded queue and at most one connection, which is reopened
 * with exponential backoff. All state except the queue size is confined to one event
 * loop.
 * <p>
 * A message is not retained after it is written. If the connection then fails, the
 * message is lost, and the core resends it if it receives no answer.
 */
final class PeerLink {

	private final InetSocketAddress address;

	private final Bootstrap bootstrap;

	private final EventLoop eventLoop;

	private final TransportSettings settings;

	private final TransportCounters counters;

	private final RandomGenerator random;

	private final AtomicInteger queued = new AtomicInteger();

	private final Promise<Void> closeFuture;

	private final Deque<Envelope> pending = new ArrayDeque<>();

	private @Nullable Channel channel;

	private boolean connecting;

	private boolean closed;

	private int failures;

	private long lastUseNanos;

	PeerLink(InetSocketAddress address, Bootstrap bootstrap, EventLoop eventLoop, TransportSettings settings,
			TransportCounters counters, RandomGenerator random) {
		this.address = address;
		this.bootstrap = bootstrap;
		this.eventLoop = eventLoop;
		this.settings = settings;
		this.counters = counters;
		this.random = random;
		this.closeFuture = eventLoop.newPromise();
	}

	boolean send(Envelope envelope) {
		if (this.queued.incrementAndGet() > this.settings.maximumQueued()) {
			this.queued.decrementAndGet();
			this.counters.countDropped();
			return false;
		}
		this.eventLoop.execute(() -> enqueue(envelope));
		return true;
	}

	/**
	 * Drops queued messages and closes the connection after pending writes complete.
	 * @return a future that completes when the connection is closed
	 */
	Future<Void> close() {
		this.eventLoop.execute(() -> {
			this.closed = true;
			dropPending();
			closeIfNothingQueued();
		});
		return this.closeFuture;
	}

	boolean isIdle(long now) {
		return this.queued.get() == 0 && now - this.lastUseNanos > this.settings.idleTimeout().toNanos();
	}

	private void enqueue(Envelope envelope) {
		this.lastUseNanos = System.nanoTime();
		if (this.closed) {
			this.queued.decrementAndGet();
			this.counters.countDropped();
			return;
		}
		this.pending.add(envelope);
		Channel open = this.channel;
		if (open != null && open.isActive()) {
			writePending(open);
		}
		else if (!this.connecting) {
			connect();
		}
	}

	private void connect() {
		if (this.closed) {
			return;
		}
		this.connecting = true;
		ChannelFuture attempt = this.bootstrap.connect(this.address);
		attempt.addListener((future) -> {
			if (future.isSuccess()) {
				onConnected(attempt.channel());
			}
			else {
				scheduleReconnect();
			}
		});
	}

	private void onConnected(Channel open) {
		this.connecting = false;
		if (this.closed) {
			open.close();
			return;
		}
		this.failures = 0;
		this.channel = open;
		this.counters.countConnection();
		open.closeFuture().addListener((future) -> onDisconnected(open));
		writePending(open);
	}

	private void onDisconnected(Channel closedChannel) {
		if (this.channel == closedChannel) {
			this.channel = null;
		}
		if (!this.pending.isEmpty() && !this.connecting) {
			connect();
		}
	}

	private void scheduleReconnect() {
		long maximumDelay = this.settings.longestBackoff().toMillis();
		long delay = Math.min(maximumDelay, this.settings.firstBackoff().toMillis() << Math.min(this.failures, 16));
		this.failures++;
		long jitteredDelay = delay / 2 + this.random.nextLong(delay / 2 + 1);
		this.eventLoop.schedule(this::connect, jitteredDelay, TimeUnit.MILLISECONDS);
	}

	private void writePending(Channel open) {
		Envelope next = this.pending.poll();
		while (next != null) {
			open.write(next).addListener((future) -> {
				this.queued.decrementAndGet();
				if (!future.isSuccess()) {
					this.counters.countDropped();
				}
				closeIfNothingQueued();
			});
			next = this.pending.poll();
		}
		open.flush();
	}

	private void closeIfNothingQueued() {
		if (!this.closed || this.queued.get() > 0) {
			return;
		}
		Channel open = this.channel;
		if (open == null) {
			this.closeFuture.trySuccess(null);
			return;
		}
		open.close().addListener((future) -> this.closeFuture.trySuccess(null));
	}

	private void dropPending() {
		int count = this.pending.size();
		this.pending.clear();
		this.queued.addAndGet(-count);
		for (int index = 0; index < count; index++) {
			this.counters.countDropped();
		}
	}

}
