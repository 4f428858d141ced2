package org.banyancove.gateway.rollout;

import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CanaryAnalysis}.
 */
class CanaryAnalysisTests {

	private static final VersionSamples BASELINE = new VersionSamples(1000, 1000, 12);

	private final CanaryAnalysis analysis = new CanaryAnalysis();

	@Test
	void candidateWithFewBadAnswersIsHealthy() {
		assertThat(evaluate(new VersionSamples(20, 20, 0), BASELINE)).isInstanceOf(Verdict.Undecided.class);
		assertThat(evaluate(new VersionSamples(150, 150, 1), BASELINE)).isInstanceOf(Verdict.Healthy.class);
	}

	@Test
	void failingCandidateIsUnhealthyAfterFewAnswers() {
		assertThat(evaluate(new VersionSamples(10, 10, 5), BASELINE)).isInstanceOf(Verdict.Unhealthy.class);
	}

	// Guards against a rollback caused by a fault that affects both versions.
	@Test
	void failuresOfBothVersionsDoNotMakeCandidateUnhealthy() {
		assertThat(evaluate(new VersionSamples(40, 40, 14), new VersionSamples(1000, 1000, 330)))
			.isNotInstanceOf(Verdict.Unhealthy.class);
	}

	// Guards against an undetected fault of one route that is diluted in the total of
	// all routes.
	@Test
	void detectsFaultOfSingleRoute() {
		Verdict verdict = this.analysis.evaluate(
				Map.of("chat", new VersionSamples(200, 200, 2), "plan", new VersionSamples(12, 12, 6)),
				Map.of("chat", BASELINE, "plan", BASELINE));
		assertThat(verdict).isEqualTo(new Verdict.Unhealthy("plan", new VersionSamples(12, 12, 6), BASELINE));
	}

	// Guards against a rollback caused by random failures of a single endpoint or
	// caller.
	@Test
	void twoBadAnswersAreNotSufficient() {
		assertThat(evaluate(new VersionSamples(3, 2, 2), BASELINE)).isInstanceOf(Verdict.Undecided.class);
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0, 0.01, 0.14 })
	void rejectsFewHealthyCandidates(double baselineRate) {
		SplittableRandom random = new SplittableRandom(7);
		int rejected = 0;
		for (int run = 0; run < 1000; run++) {
			if (isRejected(random, baselineRate, baselineRate, 250)) {
				rejected++;
			}
		}
		assertThat(rejected).isLessThan(15);
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0.2, 0.35, 0.5 })
	void rejectsMostUnhealthyCandidatesWithinFiftyBadAnswers(double candidateRate) {
		SplittableRandom random = new SplittableRandom(8);
		int rejected = 0;
		for (int run = 0; run < 1000; run++) {
			if (isRejected(random, 0.01, candidateRate, 80)) {
				rejected++;
			}
		}
		assertThat(rejected).isGreaterThan(990);
	}

	private boolean isRejected(SplittableRandom random, double baselineRate, double candidateRate, int answers) {
		int bad = 0;
		int badOfBaseline = 0;
		for (int i = 1; i <= answers; i++) {
			bad += (random.nextDouble() < candidateRate) ? 1 : 0;
			for (int k = 0; k < 10; k++) {
				badOfBaseline += (random.nextDouble() < baselineRate) ? 1 : 0;
			}
			Verdict verdict = evaluate(new VersionSamples(i, i, bad),
					new VersionSamples(i * 10L, i * 10L, badOfBaseline));
			if (verdict instanceof Verdict.Unhealthy) {
				return true;
			}
		}
		return false;
	}

	private Verdict evaluate(VersionSamples candidate, VersionSamples baseline) {
		return this.analysis.evaluate(Map.of("chat", candidate), Map.of("chat", baseline));
	}

}
