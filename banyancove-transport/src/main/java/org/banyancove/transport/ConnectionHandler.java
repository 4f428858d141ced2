package org.banyancove.transport;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.timeout.IdleStateEvent;
import org.banyancove.wire.Envelope;
import org.banyancove.wire.WireKeepAlive;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one end of a connection: decodes frames into messages, exchanges keep-alives,
 * and closes the connection after a read timeout.
 * <p>
 * A network device between two peers may lose its state of a connection, which then stays
 * open but carries no data: the peer appears dead although new connections to it succeed.
 * The end that opened the connection therefore sends a keep-alive at an interval, the
 * other end answers it, and an end that receives nothing for the silence timeout closes
 * the connection, so that the next message opens a new one. The timeout consists of two
 * halves, each counted only after the thread has read what had arrived before.
 */
final class ConnectionHandler extends ChannelDuplexHandler {

	private static final Logger logger = LoggerFactory.getLogger(ConnectionHandler.class);

	private final boolean initiator;

	private final TransportSettings settings;

	private final TransportCounters counters;

	private final PeerListener listener;

	private long keepAliveSequence;

	ConnectionHandler(boolean initiator, TransportSettings settings, TransportCounters counters,
			PeerListener listener) {
		this.initiator = initiator;
		this.settings = settings;
		this.counters = counters;
		this.listener = listener;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (this.initiator) {
			scheduleKeepAlive(context);
		}
		context.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object frame) throws Exception {
		ByteBuf bytes = (ByteBuf) frame;
		try {
			int size = bytes.readableBytes();
			Envelope envelope = Envelope.parseFrom(bytes.nioBuffer());
			boolean message = !envelope.hasKeepAlive();
			this.counters.countReceived(message, size + PeerTransport.LENGTH_BYTES);
			if (message) {
				this.listener.onMessage(PeerMessageCodec.decode(envelope));
			}
			else if (!envelope.getKeepAlive().getAnswer()) {
				writeKeepAlive(context, envelope.getKeepAlive().getSequence(), true);
			}
		}
		finally {
			bytes.release();
		}
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		Envelope envelope = (Envelope) message;
		byte[] bytes = envelope.toByteArray();
		this.counters.countSent(!envelope.hasKeepAlive(), bytes.length + PeerTransport.LENGTH_BYTES);
		context.write(Unpooled.wrappedBuffer(bytes), promise);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent idle) {
			// The timeout may be due because this thread was held up. It reads what has
			// arrived before the next half of the silence timeout can end.
			if (idle.isFirst()) {
				return;
			}
			this.counters.countTimedOut();
			logger.warn("Closing connection to {} after the silence timeout", context.channel().remoteAddress());
			context.close();
			return;
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException && !(cause instanceof InvalidProtocolBufferException)) {
			logger.debug("Connection to {} failed", context.channel().remoteAddress(), cause);
		}
		else {
			this.counters.countMalformed();
			logger.warn("Closing connection to {} after a malformed message", context.channel().remoteAddress(), cause);
		}
		context.close();
	}

	private void scheduleKeepAlive(ChannelHandlerContext context) {
		context.executor().schedule(() -> {
			if (context.channel().isActive()) {
				this.keepAliveSequence++;
				writeKeepAlive(context, this.keepAliveSequence, false);
				scheduleKeepAlive(context);
			}
		}, this.settings.keepAliveInterval().toMillis(), TimeUnit.MILLISECONDS);
	}

	private void writeKeepAlive(ChannelHandlerContext context, long sequence, boolean answer) {
		WireKeepAlive keepAlive = WireKeepAlive.newBuilder().setSequence(sequence).setAnswer(answer).build();
		write(context, Envelope.newBuilder().setKeepAlive(keepAlive).build(), context.newPromise());
		context.flush();
	}

}
