package org.banyancove.gateway.exchange;

import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.function.Predicate;

import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * A channel that may be partitioned from some addresses.
 */
final class PartitionedChannel extends NioSocketChannel {

	private final Predicate<SocketAddress> unreachable;

	/**
	 * Creates the channel.
	 * @param unreachable whether an address can't be connected
	 */
	PartitionedChannel(Predicate<SocketAddress> unreachable) {
		this.unreachable = unreachable;
	}

	@Override
	protected boolean doConnect(SocketAddress remote, @Nullable SocketAddress local) throws Exception {
		if (this.unreachable.test(remote)) {
			throw new ConnectException("partitioned from " + remote);
		}
		return super.doConnect(remote, local);
	}

}
