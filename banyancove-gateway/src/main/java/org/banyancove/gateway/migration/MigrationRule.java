package org.banyancove.gateway.migration;

import java.time.Duration;

/**
 * Decides which streams are moved off endpoints that are reclaimed, when, and what
 * follows from the answers.
 * <p>
 * Addresses the loss of all reclaimable endpoints of a data centre at once, about two
 * seconds after the notice, with streams in progress. At no time may two endpoints work
 * on the same request, so that it is sent on only after its source has stated that the
 * run has stopped. Times are nanoseconds of the monotonic clock.
 */
public final class MigrationRule {

	/**
	 * Time within which the source has to answer. Until it is known whether the run has
	 * stopped, the caller gets no events.
	 */
	public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

	/**
	 * Time before an endpoint leaves at which its streams are moved. Covers the timeout
	 * of the answer and sending the request on.
	 */
	private static final Duration LEAD_TIME = Duration.ofMillis(800);

	/**
	 * Returns whether the streams of a service may be moved.
	 * @param movesStreams whether its engines can move runs
	 * @param slowdownAnnounced whether its endpoints announce a slowdown
	 * @return whether the rule applies to the service
	 */
	public boolean applies(boolean movesStreams, boolean slowdownAnnounced) {
		return movesStreams && slowdownAnnounced;
	}

	/**
	 * Returns whether a stream is moved now.
	 * @param stream the stream
	 * @param now the current time
	 * @return whether its endpoint leaves shortly, and before the expected end of the
	 * stream
	 */
	public boolean shouldMove(RunningStream stream, long now) {
		Long leavesAt = stream.leavesAt();
		if (leavesAt == null || leavesAt - now <= 0 || leavesAt - now > LEAD_TIME.toNanos()) {
			return false;
		}
		Long end = stream.expectedEnd(now);
		return end == null || end - leavesAt >= 0;
	}

	/**
	 * Returns what follows from the answer of the source.
	 * @param answer the answer
	 * @param awaited whether the request still waits for the run
	 * @return the next step
	 */
	public MoveStep afterAnswer(SourceAnswer answer, boolean awaited) {
		return switch (answer) {
			case SourceAnswer.Copied(String handle) when awaited ->
				new MoveStep.Continue(MoveTarget.DESTINATION, handle);
			case SourceAnswer.NotCopied(String handle) when awaited -> new MoveStep.Continue(MoveTarget.SOURCE, handle);
			case SourceAnswer.Copied(String handle) -> new MoveStep.Release(handle);
			case SourceAnswer.NotCopied(String handle) -> new MoveStep.Release(handle);
			case SourceAnswer.NoRun() -> new MoveStep.Keep(MoveOutcome.NO_RUN);
			case SourceAnswer.CallInProgress() -> new MoveStep.Keep(MoveOutcome.CALL_IN_PROGRESS);
			case SourceAnswer.Unknown() -> new MoveStep.Keep(MoveOutcome.UNANSWERED);
		};
	}

	/**
	 * Returns what follows if no byte of the request could be sent on, so that the handle
	 * is unused.
	 * @param target the target that the request was not sent to
	 * @param handle the handle of the run
	 * @return the next step
	 */
	public MoveStep afterUnsent(MoveTarget target, String handle) {
		return switch (target) {
			case DESTINATION -> new MoveStep.Continue(MoveTarget.SOURCE, handle);
			case SOURCE -> new MoveStep.Release(handle);
		};
	}

	/**
	 * Returns the outcome of a move whose target answered with the rest of the stream.
	 * @param target the target
	 * @return the outcome
	 */
	public MoveOutcome outcome(MoveTarget target) {
		return switch (target) {
			case DESTINATION -> MoveOutcome.MOVED;
			case SOURCE -> MoveOutcome.RETURNED;
		};
	}

}
