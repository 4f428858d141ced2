package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

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
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.program.SocketAddressText;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends reports to the other gateways and receives theirs, as datagrams.
 * <p>
 * A report holds sums, so a lost datagram is made good by the next. Where the others
 * listen stands in the gateways' topic, under their VM's name.
 */
final class PeerExchange implements TopicFollower.Listener {

	private static final Logger log = LoggerFactory.getLogger(PeerExchange.class);

	/**
	 * Interval in a fleet of up to ten: about the time in which an account can send its
	 * burst.
	 */
	private static final Duration INTERVAL = Duration.ofMillis(250);

	/**
	 * Gateways from which on reports go out less often, so that they cost each the same.
	 */
	private static final double SMALL_FLEET = 10;

	/** The most that a datagram holds; one cut short could not be read. */
	private static final int MOST_BYTES = 32 * 1024;

	private final String ownName;

	private final Consumer<byte[]> receiver;

	private final Map<String, InetSocketAddress> peers = new HashMap<>();

	private @Nullable Channel channel;

	PeerExchange(String ownName, Consumer<byte[]> receiver) {
		this.ownName = ownName;
		this.receiver = receiver;
	}

	void listen(EventLoopGroup eventLoops, InetSocketAddress address) throws InterruptedException {
		this.channel = new Bootstrap().group(eventLoops)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_BYTES))
			.handler(new DatagramHandler())
			.bind(address)
			.sync()
			.channel();
	}

	Duration interval() {
		double growth = Math.max(1, Math.sqrt(this.peers.size() / SMALL_FLEET));
		return Duration.ofNanos((long) (INTERVAL.toNanos() * growth));
	}

	void send(byte[] message) {
		Channel open = this.channel;
		if (open == null) {
			return;
		}
		for (InetSocketAddress peer : this.peers.values()) {
			open.write(new DatagramPacket(Unpooled.wrappedBuffer(message), peer));
		}
		open.flush();
	}

	@Override
	public void changed(TopicRecord entry) {
		if (entry.key().equals(this.ownName)) {
			return;
		}
		byte[] value = entry.value();
		String address = (value != null) ? new String(value, StandardCharsets.UTF_8) : "";
		try {
			this.peers.put(entry.key(), SocketAddressText.parseNumeric(address));
		}
		catch (IllegalArgumentException ex) {
			log.atWarn()
				.addKeyValue("gateway", entry.key())
				.addKeyValue("cause", ex.toString())
				.log("address unreadable");
			this.peers.remove(entry.key());
		}
	}

	/**
	 * Receives the others' reports.
	 */
	private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			PeerExchange.this.receiver.accept(ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A peer that is gone makes the system report an error; the next report may
			// reach it.
			log.debug("datagram failed: {}", cause.toString());
		}

	}

}
