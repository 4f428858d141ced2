package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AggregatorSelectionTests {

	private static final long STEP = Duration.ofMillis(250).toNanos();

	private static final List<String> RANKED = List.of("a", "b", "c", "d");

	private final AggregatorSelection selection = new AggregatorSelection("d");

	private long now;

	@Test
	void selectsHighestRankedGatewaysThatRespond() {
		runSteps(8, "a", "b", "c");
		assertThat(choose()).containsExactly("a", "b");
	}

	// Guards against reports that are still sent to a failed aggregator.
	@Test
	void skipsGatewayThatDoesNotRespondWithinOneSecond() {
		runSteps(8, "a", "b", "c");
		runSteps(5, "b", "c");
		assertThat(choose()).containsExactly("b", "c");
	}

	// Guards against an aggregator that is never selected again after a restart.
	@Test
	void probesSkippedGateway() {
		runSteps(8, "b", "c");
		boolean probed = false;
		for (int i = 0; i < 4; i++) {
			this.now += STEP;
			probed |= this.selection.probe(RANKED, choose(), this.now).contains("a");
			this.selection.answered("b");
			this.selection.answered("c");
		}
		assertThat(probed).as("probed within a second").isTrue();
		this.selection.answered("a");
		assertThat(choose()).containsExactly("a", "b");
	}

	// Guards against a data centre that remains unknown after a network partition,
	// because none of its gateways is contacted any more.
	@Test
	void selectsHighestRankedGatewaysWhenNoneResponds() {
		AggregatorSelection otherSelection = new AggregatorSelection("other");
		for (int i = 0; i < 40; i++) {
			this.now += STEP;
			otherSelection.choose(RANKED, this.now);
		}
		assertThat(otherSelection.choose(RANKED, this.now)).containsExactly("a", "b");
	}

	@Test
	void selectsItselfWhenHigherRankedGatewaysFail() {
		runSteps(40, "c");
		assertThat(choose()).containsExactly("c", "d");
	}

	private void runSteps(int steps, String... responding) {
		for (int i = 0; i < steps; i++) {
			this.now += STEP;
			List<String> selected = choose();
			for (String name : responding) {
				if (selected.contains(name)) {
					this.selection.answered(name);
				}
			}
		}
	}

	private List<String> choose() {
		return this.selection.choose(RANKED, this.now);
	}

}
