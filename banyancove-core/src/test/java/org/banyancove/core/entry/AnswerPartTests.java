package org.banyancove.core.entry;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.error.Repetition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnswerPart.Failure}.
 */
class AnswerPartTests {

	// Guards against a retry delay on an error for which a retry is useless. A
	// request that crashes engines is stopped while its stream is open; if its
	// final error carries a retry delay, a well-behaved client sends the request
	// again.
	@ParameterizedTest
	@EnumSource
	void retryAfterIsDroppedWhereRetryIsUseless(ErrorKind kind) {
		AnswerPart.Failure failure = new AnswerPart.Failure(kind, kind.meaning(), Duration.ofSeconds(1));
		if (kind.repetition() == Repetition.USELESS) {
			assertThat(failure.retryAfter()).isNull();
		}
		else {
			assertThat(failure.retryAfter()).isEqualTo(Duration.ofSeconds(1));
		}
	}

}
