package org.banyancove.gateway.exchange;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import org.banyancove.gateway.migration.MigrationRule;
import org.banyancove.gateway.migration.SourceAnswer;
import org.banyancove.gateway.shared.EndpointHeaders;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.StreamMoveCodec;
import org.jspecify.annotations.Nullable;

/**
 * A call that asks an endpoint to stop a run. It has exactly one outcome: the answer of
 * the endpoint, or {@link SourceAnswer.Unknown} if there is none in time.
 */
final class MoveCall implements ResponseListener {

	/** An answer has a handle and a number; a longer one is not read. */
	private static final int MAXIMUM_BODY_BYTES = 16 << 10;

	private final StreamMoveCodec codec;

	private final HeaderCodec headerCodec;

	private final String requestId;

	private final Consumer<SourceAnswer> outcome;

	private final ScheduledFuture<?> timer;

	private final ByteBuf body = Unpooled.buffer();

	private int status;

	private boolean ended;

	private @Nullable ClientCall call;

	MoveCall(StreamMoveCodec codec, HeaderCodec headerCodec, String requestId, EventLoop eventLoop,
			Consumer<SourceAnswer> outcome) {
		this.codec = codec;
		this.headerCodec = headerCodec;
		this.requestId = requestId;
		this.outcome = outcome;
		this.timer = eventLoop.schedule(this::cancel, MigrationRule.ANSWER_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
	}

	void started(ClientCall startedCall) {
		this.call = startedCall;
	}

	// The call has no id of its own, and needs none on a dedicated connection.
	@Override
	public ResponseMatch match(HttpResponse head) {
		EndpointHeaders headers = this.headerCodec.readEndpoint(head.headers());
		if (headers.contradictory()) {
			return ResponseMatch.CONTRADICTORY;
		}
		String stated = headers.requestId();
		return (stated == null || stated.equals(this.requestId)) ? ResponseMatch.OWN : ResponseMatch.OTHER;
	}

	@Override
	public void head(HttpResponse head) {
		this.status = head.status().code();
	}

	@Override
	public void content(ByteBuf content) {
		if (this.body.readableBytes() + content.readableBytes() > MAXIMUM_BODY_BYTES) {
			cancel();
			return;
		}
		this.body.writeBytes(content);
	}

	@Override
	public void completed() {
		end(this.codec.readAnswer(this.status, ByteBufUtil.getBytes(this.body)));
	}

	@Override
	public void failed(CallFailure failure) {
		end(new SourceAnswer.Unknown());
	}

	private void cancel() {
		if (this.call != null) {
			this.call.cancel();
		}
		end(new SourceAnswer.Unknown());
	}

	private void end(SourceAnswer answer) {
		if (!this.ended) {
			this.ended = true;
			this.timer.cancel(false);
			this.outcome.accept(answer);
		}
	}

}
