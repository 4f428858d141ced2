package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.migration.MigrationRule;
import org.banyancove.gateway.migration.MoveOutcome;
import org.banyancove.gateway.migration.MoveStep;
import org.banyancove.gateway.migration.MoveTarget;
import org.banyancove.gateway.migration.RunningStream;
import org.banyancove.gateway.migration.SourceAnswer;
import org.banyancove.gateway.shared.StoppedRun;
import org.jspecify.annotations.Nullable;

/**
 * Moves the stream of one request off an endpoint that leaves.
 * <p>
 * The source is asked to stop the run. While its answer is awaited, the end of the
 * stream's connection is no failure, since the source closes it when the run stops. The
 * request is sent on only with the handle that the source answered.
 */
final class StreamMigration {

	private static final MigrationRule RULE = new MigrationRule();

	private final Exchange exchange;

	private final RequestDispatcher dispatcher;

	private final RoutingDecision.Accepted accepted;

	private final MoveDestinations destinations;

	private final EndpointRequestFactory requests;

	private final StreamContinuation continuation;

	private final CrashTracking crashTracking;

	private final SseEventSplitter events;

	private @Nullable Long beganAt;

	private @Nullable Attempt watched;

	private @Nullable StreamMove move;

	private boolean destinationMissing;

	StreamMigration(Exchange exchange, RequestDispatcher dispatcher, RoutingDecision.Accepted accepted,
			EndpointRequestFactory requests, StreamContinuation continuation, CrashTracking crashTracking,
			SseEventSplitter events) {
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.accepted = accepted;
		this.destinations = new MoveDestinations(dispatcher, accepted.service(), exchange.prompt());
		this.requests = requests;
		this.continuation = continuation;
		this.crashTracking = crashTracking;
		this.events = events;
	}

	/**
	 * Watches an attempt that begins a run, and abandons the move of an earlier one.
	 * @param attempt the attempt
	 */
	void watch(Attempt attempt) {
		abandon();
		if (this.accepted.service().movesStreams() && this.accepted.route().kind() == RouteKind.STREAMING) {
			this.watched = attempt;
			this.dispatcher.migrations().add(this);
		}
	}

	/** Begins a move if the endpoint of the stream leaves shortly. */
	void check() {
		Attempt attempt = this.watched;
		if (attempt == null || this.move != null || !shouldMove(attempt) || !this.continuation.isReady()) {
			return;
		}
		Endpoint destination = this.destinations.choose(attempt, now());
		if (destination != null) {
			begin(attempt, destination);
		}
		else if (!this.destinationMissing) {
			this.destinationMissing = true;
			this.dispatcher.requestLog()
				.streamMoveEnded(new RequestLog.EndedMove(this.exchange.requestId(), MoveOutcome.NO_DESTINATION,
						attempt.endpoint().id(), null, this.events.forwardedEvents(), Duration.ZERO));
		}
	}

	private boolean shouldMove(Attempt attempt) {
		Endpoint source = attempt.endpoint();
		Long leavesAt = source.entry().leavesAt();
		return leavesAt != null
				&& RULE.applies(this.accepted.service().movesStreams(), source.partition().slowdownAnnounced())
				&& attempt.isMovable() && this.exchange.isStreaming(attempt) && this.events.isContinuable()
				&& RULE.shouldMove(new RunningStream(leavesAt, this.beganAt, this.events.forwardedEvents(),
						Math.max(0, this.exchange.prompt().maximumOutputTokens())), now())
				&& this.crashTracking.quarantine().isZero();
	}

	private void begin(Attempt source, Endpoint destination) {
		this.continuation.attemptSent();
		StreamMove begun = new StreamMove(source, destination, this.events.forwardedEvents(), now());
		this.move = begun;
		this.dispatcher.migrations()
			.requestMove(source.endpoint().entry().address(), this.exchange.requestId(), destination.entry().address(),
					this.requests.moveOptions(), (answer) -> answered(begun, answer));
	}

	private void answered(StreamMove asked, SourceAnswer answer) {
		asked.releaseDestination();
		follow(asked, RULE.afterAnswer(answer, asked == this.move));
	}

	private void follow(StreamMove current, MoveStep step) {
		switch (step) {
			case MoveStep.Continue(MoveTarget target, String handle) when maySend(current, target) ->
				sendOn(current, target, handle);
			case MoveStep.Continue(MoveTarget target, String handle) ->
				follow(current, RULE.afterUnsent(target, handle));
			case MoveStep.Keep(MoveOutcome outcome) -> {
				if (current == this.move) {
					keep(current, outcome);
				}
			}
			case MoveStep.Release(String handle) -> {
				release(current, handle);
				if (current == this.move) {
					lose(current);
				}
			}
		}
	}

	private boolean maySend(StreamMove current, MoveTarget target) {
		if (!this.exchange.remaining().isPositive() || !this.dispatcher.freshness().current()) {
			return false;
		}
		return switch (target) {
			case DESTINATION ->
				this.dispatcher.endpoints().accepts(current.destination()) && current.isDestinationUnchanged();
			// The source is draining, but has the run.
			case SOURCE -> this.dispatcher.endpoints().entry(current.source().endpoint().id()) != null
					&& current.source().isCurrentProcess();
		};
	}

	private void sendOn(StreamMove current, MoveTarget target, String handle) {
		current.source().cancel();
		this.watched = null;
		EndpointEntry source = current.source().endpoint().entry();
		Placement placement = new Placement(current.endpoint(target), 0, 0, null);
		current.sentOn(target, handle, this.events.forwardedEvents(),
				this.exchange.sendOn(placement, new StoppedRun(source.address(), handle)));
	}

	private void keep(StreamMove current, MoveOutcome outcome) {
		this.watched = null;
		end(current, outcome);
		CallFailure failure = current.heldFailure();
		if (failure != null) {
			this.exchange.failed(current.source(), failure);
		}
	}

	private void lose(StreamMove current) {
		current.source().cancel();
		end(current, MoveOutcome.NOT_CONTINUED);
		CallFailure failure = current.heldFailure();
		this.exchange.failed(current.source(), (failure != null) ? failure : CallFailure.BROKEN_ANSWER);
	}

	/**
	 * Returns whether the answer of the source is awaited.
	 * @return whether it is unknown whether the run has stopped
	 */
	boolean awaitsAnswer() {
		return this.move != null && this.move.continued() == null;
	}

	/**
	 * Returns whether an attempt continues a run.
	 * @param attempt the attempt
	 * @return whether it was sent on with a handle and has not been answered
	 */
	boolean isContinuation(Attempt attempt) {
		return this.move != null && attempt == this.move.continued();
	}

	/**
	 * Returns whether the request may be sent on when its connection is established.
	 * @return whether the target is still the same process
	 */
	boolean mayContinue() {
		return this.move != null && maySend(this.move, this.move.target());
	}

	/**
	 * Handles the failure of an attempt that is part of a move.
	 * @param attempt the attempt
	 * @param failure the cause
	 * @return {@code false} if the failure is to be handled like any other
	 */
	boolean handlesFailure(Attempt attempt, CallFailure failure) {
		StreamMove current = this.move;
		if (current == null) {
			return false;
		}
		if (attempt == current.continued()) {
			return handlesUnsent(current, attempt, failure);
		}
		if (failure.connectionLost()) {
			current.hold(failure);
			return true;
		}
		abandon();
		return false;
	}

	private boolean handlesUnsent(StreamMove current, Attempt attempt, CallFailure failure) {
		if (failure.mayHaveRun()) {
			recordRefusal(attempt);
			return false;
		}
		this.dispatcher.requestLog().attemptFailed(attempt.describe(), failure.name());
		if (failure.endpointUnreachable()) {
			attempt.endpoint().unreachable(attempt.sentAt(), now());
		}
		follow(current, RULE.afterUnsent(current.target(), current.handle()));
		return true;
	}

	/**
	 * Records that events, or the end, of a stream were received.
	 * @param attempt the attempt that received them
	 */
	void recordAnswer(Attempt attempt) {
		if (this.beganAt == null) {
			this.beganAt = now();
		}
		StreamMove current = this.move;
		if (current != null && attempt == current.continued()) {
			this.watched = (current.target() == MoveTarget.DESTINATION) ? attempt : null;
			end(current, RULE.outcome(current.target()));
		}
	}

	/**
	 * Records an answer that is not a stream.
	 * @param attempt the attempt that received it
	 */
	void recordRefusal(Attempt attempt) {
		StreamMove current = this.move;
		if (current != null && attempt == current.continued()) {
			release(current, current.handle());
			end(current, MoveOutcome.NOT_CONTINUED);
		}
	}

	/** Ends a move in progress with its request. */
	void end() {
		this.watched = null;
		this.dispatcher.migrations().remove(this);
		abandon();
	}

	// If the source has not answered yet, its handle is freed with the answer.
	private void abandon() {
		StreamMove current = this.move;
		if (current != null && current.continued() != null) {
			release(current, current.handle());
		}
		if (current != null) {
			end(current, MoveOutcome.ABANDONED);
		}
	}

	private void release(StreamMove current, String handle) {
		this.dispatcher.migrations()
			.release(new StoppedRun(current.source().endpoint().entry().address(), handle),
					this.requests.moveOptions());
	}

	private void end(StreamMove current, MoveOutcome outcome) {
		this.move = null;
		this.dispatcher.requestLog().streamMoveEnded(current.ended(this.exchange.requestId(), outcome, now()));
	}

	private long now() {
		return this.dispatcher.clock().nanos();
	}

}
