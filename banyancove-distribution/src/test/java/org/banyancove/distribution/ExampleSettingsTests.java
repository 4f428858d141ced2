package org.banyancove.distribution;

import java.nio.file.Path;
import java.util.List;

import org.banyancove.entry.EntryProgram;
import org.banyancove.planner.PlannerProgram;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the programs accept the example settings of both users.
 */
class ExampleSettingsTests {

	@TempDir
	Path directory;

	@ParameterizedTest
	@ValueSource(strings = { "lagon-bleu", "kowhai-lane" })
	void examplesPassSettingsCheck(String user) {
		assertThat(check(EntryProgram.class, user, "entry.toml")).isZero();
		assertThat(check(PlannerProgram.class, user, "planner.toml")).isZero();
	}

	private int check(Class<?> program, String user, String file) {
		Path example = Path.of("..", "examples", user, file);
		try (RunningProcess process = RunningProcess.start(this.directory, user + "-" + file, program,
				List.of("--settings", example.toString(), "--check-settings"))) {
			int code = process.awaitExit();
			assertThat(process.errorLines()).isEmpty();
			return code;
		}
	}

}
