package org.banyancove.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.AttributeKey;

/**
 * Tells the orderly end of a connection from all others, ahead of the other handlers.
 * <p>
 * A response that is delimited by the end of its connection is complete only if the peer
 * closed its side and this side read that. A failed read, a failed write and a close by
 * this side leave the channel inactive too, in whichever order they come. The channel
 * must allow half-closure, since an orderly end is reported by no other event.
 */
public final class OrderlyEndHandler extends ChannelInboundHandlerAdapter {

	/** Outlives the handler, which is removed from the pipeline of a closed channel. */
	private static final AttributeKey<State> STATE = AttributeKey.valueOf(OrderlyEndHandler.class, "STATE");

	private static final AttributeKey<Boolean> KEPT_OPEN = AttributeKey.valueOf(OrderlyEndHandler.class, "KEPT_OPEN");

	/**
	 * Returns whether a connection ended otherwise than by an orderly end.
	 * @param channel the channel of the connection
	 * @return {@code false} while it is open, and after an orderly end
	 * @throws IllegalStateException if the channel has no such handler
	 */
	public static boolean isBroken(Channel channel) {
		return state(channel) == State.BROKEN;
	}

	/**
	 * Returns whether a connection had an orderly end.
	 * @param channel the channel of the connection
	 * @return {@code false} while it is open, and after another end
	 * @throws IllegalStateException if the channel has no such handler
	 */
	public static boolean hasEnded(Channel channel) {
		return state(channel) == State.ENDED;
	}

	private static State state(Channel channel) {
		State state = channel.attr(STATE).get();
		if (state == null) {
			throw new IllegalStateException("channel must have an OrderlyEndHandler: " + channel);
		}
		return state;
	}

	/**
	 * Keeps a connection open after its orderly end, which is otherwise closed when the
	 * other handlers have received that. Bytes that are still to be written are written.
	 * @param channel the channel of the connection, which the caller of this method
	 * closes
	 */
	public static void keepOpen(Channel channel) {
		channel.attr(KEPT_OPEN).set(true);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		context.channel().attr(STATE).set(State.OPEN);
	}

	// The first end counts: a failed read is also reported as a shut down input.
	private static void end(ChannelHandlerContext context, State end) {
		context.channel().attr(STATE).compareAndSet(State.OPEN, end);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (!(event instanceof ChannelInputShutdownEvent)) {
			context.fireUserEventTriggered(event);
			return;
		}
		end(context, State.ENDED);
		context.fireUserEventTriggered(event);
		if (!Boolean.TRUE.equals(context.channel().attr(KEPT_OPEN).get())) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		end(context, State.BROKEN);
		context.fireExceptionCaught(cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		end(context, State.BROKEN);
		context.fireChannelInactive();
	}

	private enum State {

		OPEN, ENDED, BROKEN

	}

}
