package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import org.banyancove.gateway.migration.SourceAnswer;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.StoppedRun;
import org.banyancove.gateway.shared.StreamMoveCodec;

/**
 * Checks the streams in progress that may be moved, and sends the calls that move them.
 */
final class StreamMigrations {

	/** A small part of the time within which streams are moved off an endpoint. */
	private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

	private final EventLoop eventLoop;

	private final ConnectionPool connections;

	private final StreamMoveCodec codec;

	private final HeaderCodec headerCodec;

	private final Set<StreamMigration> watched = new LinkedHashSet<>();

	private boolean checkScheduled;

	StreamMigrations(EventLoop eventLoop, ConnectionPool connections, StreamMoveCodec codec, HeaderCodec headerCodec) {
		this.headerCodec = headerCodec;
		this.eventLoop = eventLoop;
		this.connections = connections;
		this.codec = codec;
	}

	/**
	 * Adds a stream, if it is not present. It is checked until it is removed.
	 * @param stream the stream
	 */
	void add(StreamMigration stream) {
		this.watched.add(stream);
		scheduleCheck();
	}

	void remove(StreamMigration stream) {
		this.watched.remove(stream);
	}

	private void scheduleCheck() {
		if (!this.checkScheduled && !this.watched.isEmpty()) {
			this.checkScheduled = true;
			this.eventLoop.schedule(this::check, CHECK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
		}
	}

	private void check() {
		this.checkScheduled = false;
		scheduleCheck();
		List.copyOf(this.watched).forEach(StreamMigration::check);
	}

	/**
	 * Asks an endpoint to stop a run and copy it.
	 * @param source the address of the endpoint
	 * @param requestId the id of the caller's request
	 * @param destination the address of the endpoint to copy the run to
	 * @param options the connection options
	 * @param outcome receives the answer, on the event loop and never from within this
	 * method
	 */
	void requestMove(InetSocketAddress source, String requestId, InetSocketAddress destination, CallOptions options,
			Consumer<SourceAnswer> outcome) {
		MoveCall listener = new MoveCall(this.codec, this.headerCodec, requestId, this.eventLoop, outcome);
		listener.started(this.connections.call(source, this.codec.moveRequest(source, requestId, destination), options,
				listener));
	}

	/**
	 * Frees a run that is not continued. If the call fails, its memory is in use until
	 * the endpoint leaves.
	 * @param run the run
	 * @param options the connection options
	 */
	void release(StoppedRun run, CallOptions options) {
		this.connections.call(run.source(), this.codec.releaseRequest(run), options, new IgnoredAnswer());
	}

	/**
	 * Ignores the answer to a call.
	 */
	private static final class IgnoredAnswer implements ResponseListener {

		@Override
		public void head(HttpResponse head) {
		}

		@Override
		public void content(ByteBuf content) {
		}

		@Override
		public void completed() {
		}

		@Override
		public void failed(CallFailure failure) {
		}

	}

}
