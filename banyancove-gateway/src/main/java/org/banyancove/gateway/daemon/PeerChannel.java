package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives the datagrams between gateways.
 */
final class PeerChannel implements PeerTransport {

	private static final Logger log = LoggerFactory.getLogger(PeerChannel.class);

	/** Maximum size of a datagram; a truncated one cannot be decoded. */
	private static final int MAXIMUM_DATAGRAM_BYTES = 32 * 1024;

	private final BiConsumer<InetSocketAddress, byte[]> receiver;

	private @Nullable Channel channel;

	/**
	 * Creates the channel.
	 * @param receiver receives the sender and the content of each datagram
	 */
	PeerChannel(BiConsumer<InetSocketAddress, byte[]> receiver) {
		this.receiver = receiver;
	}

	void listen(EventLoopGroup eventLoops, InetSocketAddress address) throws InterruptedException {
		this.channel = new Bootstrap().group(eventLoops)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
			.handler(new DatagramHandler())
			.bind(address)
			.sync()
			.channel();
	}

	@Override
	public void write(InetSocketAddress address, byte[] message) {
		if (this.channel != null) {
			this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(message), address));
		}
	}

	@Override
	public void flush() {
		if (this.channel != null) {
			this.channel.flush();
		}
	}

	/**
	 * Receives the datagrams of other gateways.
	 */
	private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			PeerChannel.this.receiver.accept(packet.sender(), ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The system reports an error for a peer that is gone; the next message may
			// reach it.
			log.debug("datagram failed: {}", cause.toString());
		}

	}

}
