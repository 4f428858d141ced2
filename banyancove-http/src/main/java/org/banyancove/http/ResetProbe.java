package org.banyancove.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Tells whether a connection was reset after its peer had ended its side.
 * <p>
 * From then on the channel reads nothing, and a read would report the earlier end, not
 * the reset. Only a pending error of the socket tells.
 */
public final class ResetProbe {

	private ResetProbe() {
	}

	/**
	 * Returns whether a connection was reset.
	 * @param channel the channel of the connection
	 * @return {@code false} if it is sound, or the channel has no socket; {@code true}
	 * also if the system can't tell
	 */
	public static boolean isReset(Channel channel) {
		if (!channel.isOpen()) {
			return true;
		}
		return channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket && hasError(socket);
	}

	// An established connection becomes ready to connect only by an error.
	private static boolean hasError(AbstractNioChannel.NioUnsafe socket) {
		try (Selector selector = Selector.open()) {
			SelectionKey key = socket.ch().register(selector, SelectionKey.OP_CONNECT);
			return selector.selectNow() > 0 && key.isConnectable();
		}
		catch (IOException ex) {
			return true;
		}
	}

}
