package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.Objects;

import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.migration.MoveOutcome;
import org.banyancove.gateway.migration.MoveTarget;
import org.jspecify.annotations.Nullable;

/**
 * The state of one move of a stream. Until the source has answered, the move counts as a
 * request at its destination, so that the streams of an endpoint are spread.
 */
final class StreamMove {

	private final Attempt source;

	private final Endpoint destination;

	private final EndpointEntry destinationWhenChosen;

	private final long begunAt;

	private int forwardedEvents;

	private @Nullable CallFailure heldFailure;

	private @Nullable MoveTarget target;

	private @Nullable String handle;

	private @Nullable Attempt continued;

	StreamMove(Attempt source, Endpoint destination, int forwardedEvents, long now) {
		this.source = source;
		this.destination = destination;
		this.destinationWhenChosen = destination.entry();
		this.forwardedEvents = forwardedEvents;
		this.begunAt = now;
		destination.requestSent(Prompt.NONE, 0, now);
	}

	/** Ends the reservation at the destination. */
	void releaseDestination() {
		this.destination.requestCompleted();
	}

	Attempt source() {
		return this.source;
	}

	Endpoint destination() {
		return this.destination;
	}

	Endpoint endpoint(MoveTarget place) {
		return switch (place) {
			case DESTINATION -> this.destination;
			case SOURCE -> this.source.endpoint();
		};
	}

	boolean isDestinationUnchanged() {
		return this.destination.entry().sameIncarnation(this.destinationWhenChosen);
	}

	RequestLog.EndedMove ended(String requestId, MoveOutcome outcome, long now) {
		return new RequestLog.EndedMove(requestId, outcome, this.source.endpoint().id(), this.destination.id(),
				this.forwardedEvents, Duration.ofNanos(now - this.begunAt));
	}

	/**
	 * Holds the failure of the stream's connection until the source has answered.
	 * @param failure the failure
	 */
	void hold(CallFailure failure) {
		this.heldFailure = failure;
	}

	@Nullable CallFailure heldFailure() {
		return this.heldFailure;
	}

	/**
	 * Records that the request was sent on.
	 * @param newTarget where the run continues
	 * @param newHandle the handle of the run
	 * @param events the events forwarded before
	 * @param attempt the attempt that continues the run
	 */
	void sentOn(MoveTarget newTarget, String newHandle, int events, Attempt attempt) {
		this.target = newTarget;
		this.handle = newHandle;
		this.forwardedEvents = events;
		this.continued = attempt;
	}

	MoveTarget target() {
		return Objects.requireNonNull(this.target, "request has not been sent on");
	}

	String handle() {
		return Objects.requireNonNull(this.handle, "request has not been sent on");
	}

	@Nullable Attempt continued() {
		return this.continued;
	}

}
