package org.banyancove.core;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatNoException;

class InvariantTests {

	@Test
	void checkThrowsExceptionWithMessageAndValues() {
		assertThatExceptionOfType(InvariantViolationException.class)
			.isThrownBy(() -> Invariant.check(false, "key %s ran %s times", "a", 2))
			.withMessage("key a ran 2 times");
	}

	@Property(tries = 20, seed = "1")
	void checkDoesNotThrowIfConditionIsTrue(@ForAll int value) {
		assertThatNoException().isThrownBy(() -> Invariant.check(true, "value %s", value));
	}

}
