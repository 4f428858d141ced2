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
	void choosesTheHighestRanksThatAnswer() {
		play(8, "a", "b", "c");
		assertThat(choose()).containsExactly("a", "b");
	}

	// Guards against reports that go on to an aggregator that is dead.
	@Test
	void passesOverWhoDoesNotAnswerWithinASecond() {
		play(8, "a", "b", "c");
		play(5, "b", "c");
		assertThat(choose()).containsExactly("b", "c");
	}

	// Guards against an aggregator that stays out for good after a restart.
	@Test
	void asksWhoWasPassedOverAgain() {
		play(8, "b", "c");
		boolean probed = false;
		for (int i = 0; i < 4; i++) {
			this.now += STEP;
			probed |= this.selection.probe(RANKED, choose(), this.now).contains("a");
			this.selection.answered("b");
			this.selection.answered("c");
		}
		assertThat(probed).as("asked once within a second").isTrue();
		this.selection.answered("a");
		assertThat(choose()).containsExactly("a", "b");
	}

	// Guards against a data centre that stays unknown when a cut ends, since none of its
	// gateways is asked any more.
	@Test
	void whileNoneAnswersTheHighestRanksAreAsked() {
		AggregatorSelection elsewhere = new AggregatorSelection("other");
		for (int i = 0; i < 40; i++) {
			this.now += STEP;
			elsewhere.choose(RANKED, this.now);
		}
		assertThat(elsewhere.choose(RANKED, this.now)).containsExactly("a", "b");
	}

	@Test
	void choosesItselfWhenThoseBeforeItAreGone() {
		play(40, "c");
		assertThat(choose()).containsExactly("c", "d");
	}

	private void play(int steps, String... answering) {
		for (int i = 0; i < steps; i++) {
			this.now += STEP;
			List<String> asked = choose();
			for (String name : answering) {
				if (asked.contains(name)) {
					this.selection.answered(name);
				}
			}
		}
	}

	private List<String> choose() {
		return this.selection.choose(RANKED, this.now);
	}

}
