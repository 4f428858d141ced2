package org.banyancove.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.JCommander;
import org.banyancove.core.profile.PlacementPolicyName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class SimulationTests {

	private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

	private static final double SECONDS = 120;

	/** Long enough to make the start, when no engine's speed is known, insignificant. */
	private static final double LONG_SECONDS = 300;

	@Test
	void sameSeedGivesTheSameResult() {
		assertThat(run(UserModel.LAGON_BLEU, Scenario.RECLAIM_WAVE, PlacementPolicyName.COST_AT_TARGET, 1))
			.isEqualTo(run(UserModel.LAGON_BLEU, Scenario.RECLAIM_WAVE, PlacementPolicyName.COST_AT_TARGET, 1));
	}

	@ParameterizedTest
	@EnumSource(UserModel.class)
	void costAtTargetIsCheaperAtCalmLoadThanEveryBaseline(UserModel user) {
		for (long seed : SEEDS) {
			RunResult result = run(user, Scenario.CALM, PlacementPolicyName.COST_AT_TARGET, seed);
			for (PlacementPolicyName baseline : baselines()) {
				RunResult other = run(user, Scenario.CALM, baseline, seed);
				assertThat(result.busyCostPerThousandMet()).isLessThan(other.busyCostPerThousandMet());
				assertThat(result.metShare()).isGreaterThan(other.metShare());
			}
		}
	}

	// Six entries share the engines. Each receives delayed load reports. It receives the
	// loads of another entry only within its data center. All entries may therefore
	// choose the same cheap engine at once.
	@ParameterizedTest
	@EnumSource(UserModel.class)
	void costAtTargetIsCheaperThanEveryBaselineWithSeveralEntries(UserModel user) {
		for (long seed : SEEDS) {
			RunResult result = run(user, Scenario.CALM, PlacementPolicyName.COST_AT_TARGET, 6, seed);
			for (PlacementPolicyName baseline : baselines()) {
				RunResult other = run(user, Scenario.CALM, baseline, 6, seed);
				assertThat(result.busyCostPerThousandMet()).isLessThan(other.busyCostPerThousandMet());
				assertThat(result.metShare()).isGreaterThan(other.metShare());
			}
		}
	}

	// Callers send three times the engines' capacity. Requests that cannot meet their
	// target must be refused at once, the goodput must stay close to that at full load,
	// and retries must not amplify the load.
	@ParameterizedTest
	@EnumSource(UserModel.class)
	void tripleLoadKeepsTheGoodputCloseToFullLoad(UserModel user) {
		for (long seed : SEEDS) {
			RunResult full = run(user, Scenario.FULL, seed);
			RunResult triple = run(user, Scenario.TRIPLE, seed);
			assertThat(triple.goodputPerSecond()).isGreaterThan(0.85 * full.goodputPerSecond());
			assertThat(triple.firstTokenMillisP99()).isLessThan(12_000);
			assertThat(triple.refusedShareOfSmall()).isLessThan(triple.refusedShare());
			assertThat(triple.refusedMedianMillis()).isZero();
			assertThat(triple.retriesPerRequest()).isLessThan(0.1);
		}
	}

	// Two engines of a zone are reclaimed, one of them before its notice. Every admitted
	// request must be answered completely, by a move or a retry.
	@ParameterizedTest
	@EnumSource(UserModel.class)
	void reclaimWaveFailsNoAdmittedRequest(UserModel user) {
		for (long seed : SEEDS) {
			RunResult result = run(user, Scenario.RECLAIM_WAVE, PlacementPolicyName.COST_AT_TARGET, seed);
			assertThat(result.failed()).isZero();
		}
	}

	@Test
	void commandWritesTableJsonAndPlot(@TempDir Path directory) throws IOException {
		RunCommand command = new RunCommand();
		Path json = directory.resolve("results.json");
		Path plot = directory.resolve("results.png");
		JCommander.newBuilder()
			.addObject(command)
			.build()
			.parse("--user", "lagon-bleu", "--seconds", "20", "--json", json.toString(), "--plot", plot.toString());
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		command.run(new PrintStream(output, true, StandardCharsets.UTF_8));
		assertThat(output.toString(StandardCharsets.UTF_8)).contains("cost_at_target", "two_choices");
		assertThat(Files.readString(json)).contains("recomputedTokens");
		assertThat(Files.readAllBytes(plot)).startsWith(0x89, 'P', 'N', 'G');
	}

	private static List<PlacementPolicyName> baselines() {
		return List.of(PlacementPolicyName.ROUND_ROBIN, PlacementPolicyName.LEAST_IN_FLIGHT,
				PlacementPolicyName.TWO_CHOICES);
	}

	private static RunResult run(UserModel user, Scenario scenario, long seed) {
		RunSettings settings = new RunSettings(user, scenario, PlacementPolicyName.COST_AT_TARGET, 1, seed,
				LONG_SECONDS, true);
		return new Simulation(settings).run();
	}

	private static RunResult run(UserModel user, Scenario scenario, PlacementPolicyName policy, long seed) {
		return run(user, scenario, policy, 1, seed);
	}

	private static RunResult run(UserModel user, Scenario scenario, PlacementPolicyName policy, int entries,
			long seed) {
		return new Simulation(new RunSettings(user, scenario, policy, entries, seed, SECONDS, true)).run();
	}

}
