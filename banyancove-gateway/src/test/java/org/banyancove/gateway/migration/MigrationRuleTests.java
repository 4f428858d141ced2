package org.banyancove.gateway.migration;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class MigrationRuleTests {

	private static final long NOW = Long.MAX_VALUE - Duration.ofMillis(400).toNanos();

	private final MigrationRule rule = new MigrationRule();

	// Guards against streams that are lost because all endpoints of a data centre leave
	// two seconds after the notice, and against moves of streams that would end in time.
	@Test
	void streamsThatRunShortlyBeforeTheirEndpointLeavesAreMoved() {
		assertThat(shouldMove(2000, 100)).isFalse();
		assertThat(shouldMove(801, 100)).isFalse();
		assertThat(shouldMove(800, 100)).isTrue();
		assertThat(shouldMove(1, 100)).isTrue();
		assertThat(shouldMove(0, 100)).isFalse();
		assertThat(shouldMove(null, 100)).isFalse();
	}

	@Test
	void streamsThatAreExpectedToEndBeforeTheirEndpointLeavesAreNotMoved() {
		// Eleven events in a second, so that one follows each 100 ms.
		assertThat(shouldMove(500, 15)).isFalse();
		assertThat(shouldMove(500, 16)).isTrue();
		assertThat(shouldMove(500, 0)).isTrue();
		assertThat(this.rule.shouldMove(new RunningStream(after(500L), null, 0, 1), NOW)).isTrue();
	}

	@Test
	void appliesOnlyIfEnginesMoveRunsAndAnnounceASlowdown() {
		assertThat(this.rule.applies(true, true)).isTrue();
		assertThat(this.rule.applies(true, false)).isFalse();
		assertThat(this.rule.applies(false, true)).isFalse();
	}

	// Guards against two endpoints that work on the same request.
	@Test
	void requestIsSentOnOnlyIfItsRunHasStopped() {
		assertThat(this.rule.afterAnswer(new SourceAnswer.Copied("h"), true))
			.isEqualTo(new MoveStep.Continue(MoveTarget.DESTINATION, "h"));
		assertThat(this.rule.afterAnswer(new SourceAnswer.NotCopied("h"), true))
			.isEqualTo(new MoveStep.Continue(MoveTarget.SOURCE, "h"));
		assertThat(this.rule.afterAnswer(new SourceAnswer.NoRun(), true))
			.isEqualTo(new MoveStep.Keep(MoveOutcome.NO_RUN));
		assertThat(this.rule.afterAnswer(new SourceAnswer.CallInProgress(), true))
			.isEqualTo(new MoveStep.Keep(MoveOutcome.CALL_IN_PROGRESS));
		assertThat(this.rule.afterAnswer(new SourceAnswer.Unknown(), true))
			.isEqualTo(new MoveStep.Keep(MoveOutcome.UNANSWERED));
	}

	// Guards against memory of an endpoint that holds runs whose callers have left.
	@Test
	void handleThatIsNotUsedIsReleased() {
		assertThat(this.rule.afterAnswer(new SourceAnswer.Copied("h"), false)).isEqualTo(new MoveStep.Release("h"));
		assertThat(this.rule.afterAnswer(new SourceAnswer.NotCopied("h"), false)).isEqualTo(new MoveStep.Release("h"));
		assertThat(this.rule.afterUnsent(MoveTarget.DESTINATION, "h"))
			.isEqualTo(new MoveStep.Continue(MoveTarget.SOURCE, "h"));
		assertThat(this.rule.afterUnsent(MoveTarget.SOURCE, "h")).isEqualTo(new MoveStep.Release("h"));
	}

	@Test
	void negativeNumbersOfEventsAreRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new RunningStream(null, null, -1, 0))
			.withMessageContaining("events")
			.withMessageContaining("-1");
	}

	private boolean shouldMove(@Nullable Integer leavesInMillis, int maximumEvents) {
		Long leavesAt = (leavesInMillis != null) ? after(leavesInMillis) : null;
		return this.rule
			.shouldMove(new RunningStream(leavesAt, NOW - Duration.ofSeconds(1).toNanos(), 11, maximumEvents), NOW);
	}

	// The times of the clock may wrap around.
	private static long after(long millis) {
		return NOW + Duration.ofMillis(millis).toNanos();
	}

}
