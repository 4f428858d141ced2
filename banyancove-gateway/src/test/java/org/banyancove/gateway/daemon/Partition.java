package org.banyancove.gateway.daemon;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * The network between one gateway and the endpoints, which can be partitioned.
 */
final class Partition {

	private final Set<CuttableChannel> channels = ConcurrentHashMap.newKeySet();

	private final Set<InetSocketAddress> endpoints;

	private volatile @Nullable Kind kind;

	Partition(Set<InetSocketAddress> endpoints) {
		this.endpoints = endpoints;
	}

	void begin(Kind newKind) {
		this.kind = newKind;
		for (CuttableChannel channel : this.channels) {
			channel.cut(newKind);
		}
	}

	void end() {
		this.kind = null;
	}

	CuttableChannel newChannel() {
		return new CuttableChannel();
	}

	/**
	 * What a partition does to connections.
	 */
	enum Kind {

		/** Neither connections nor data arrive. */
		HANG,

		/** All connections are reset, and new ones are refused. */
		RESET,

		/** Open connections go on; new ones are refused. */
		REFUSE_NEW

	}

	/**
	 * A connection that no longer delivers data once it was cut.
	 */
	final class CuttableChannel extends NioSocketChannel {

		private volatile boolean silent;

		private boolean toEndpoint;

		private void cut(Kind newKind) {
			if (this.toEndpoint && newKind == Kind.HANG) {
				this.silent = true;
			}
			else if (this.toEndpoint && newKind == Kind.RESET) {
				close();
			}
		}

		@Override
		protected boolean doConnect(SocketAddress remoteAddress, @Nullable SocketAddress localAddress)
				throws Exception {
			this.toEndpoint = Partition.this.endpoints.contains(remoteAddress);
			Kind current = this.toEndpoint ? Partition.this.kind : null;
			if (current == Kind.HANG) {
				// The connect timeout ends the attempt.
				return false;
			}
			if (current != null) {
				throw new ConnectException("refused by the partition");
			}
			Partition.this.channels.add(this);
			closeFuture().addListener((future) -> Partition.this.channels.remove(this));
			return super.doConnect(remoteAddress, localAddress);
		}

		@Override
		protected int doReadBytes(ByteBuf buffer) throws Exception {
			int read = super.doReadBytes(buffer);
			if (this.silent && read > 0) {
				buffer.writerIndex(buffer.writerIndex() - read);
				return 0;
			}
			return read;
		}

		@Override
		protected void doWrite(ChannelOutboundBuffer output) throws Exception {
			if (!this.silent) {
				super.doWrite(output);
				return;
			}
			while (output.current() != null) {
				Objects.requireNonNull(output.current());
				output.remove();
			}
		}

	}

}
