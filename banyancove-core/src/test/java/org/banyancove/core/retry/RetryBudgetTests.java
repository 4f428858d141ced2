package org.banyancove.core.retry;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTests {

	// Guards against retries that keep endpoints overloaded: all endpoints fail, and
	// every attempt immediately requests several retries. The load must not exceed the
	// ratio.
	@Property(tries = 100, seed = "2")
	void retriesStayWithinTheRatioOfFirstAttempts(@ForAll @DoubleRange(min = 0, max = 1) double ratio,
			@ForAll @Size(max = 300) List<Boolean> firstAttempts) {
		RetryBudget budget = new RetryBudget(ratio);
		for (boolean first : firstAttempts) {
			if (first) {
				budget.firstAttempt();
			}
			else {
				budget.tryRetry();
			}
		}
		assertThat((double) budget.retries()).isLessThanOrEqualTo(3 + ratio * budget.firstAttempts() + 1e-6);
	}

}
