package org.banyancove.program;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.charset.StandardCharsets;

import com.beust.jcommander.JCommander;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineProgramTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@Test
	void printsHelpVersionAndSettingsKeys() {
		assertThat(execute(null, "--help")).isEqualTo(ExitCode.SUCCESS);
		assertThat(execute(null, "--version")).isEqualTo(ExitCode.SUCCESS);
		assertThat(execute(null, "--print-settings")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.toString(StandardCharsets.UTF_8)).contains("--check-settings", "sample 0.1.0",
				"workers  (int, default 3)  Threads");
	}

	@Test
	void checksSettingsWithoutRunning() {
		assertThat(execute(new IllegalStateException("ran"), "--check-settings")).isEqualTo(ExitCode.SUCCESS);
		assertThat(execute(null, "--check-settings", "--settings", "/nonexistent.toml")).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void eachFailureHasItsExitCodeAndOneErrorLine() {
		assertThat(execute(null, "--wrong")).isEqualTo(ExitCode.USAGE);
		assertThat(execute(new BindException("Address already in use"))).isEqualTo(ExitCode.ADDRESS_IN_USE);
		assertThat(execute(new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, "no answer")))
			.isEqualTo(ExitCode.PLATFORM_UNREACHABLE);
		assertThat(execute(new IllegalStateException("two\nlines"))).isEqualTo(ExitCode.FAILURE);
		assertThat(this.errors.toString(StandardCharsets.UTF_8).lines()).hasSize(4)
			.allMatch((line) -> line.startsWith("error: "))
			.anyMatch((line) -> line.equals("error: address_in_use: Address already in use"));
	}

	@Test
	void exportsTheMetricsOfTheGivenRegistry() {
		PrometheusRegistry registry = new PrometheusRegistry();
		Counter.builder().name("answers_total").help("Answers").register(registry).inc();
		assertThat(new MetricsText(registry).text()).contains("answers_total 1.0");
	}

	private ExitCode execute(@Nullable Exception failure, String... arguments) {
		return new SampleProgram(new PrintStream(this.output, true, StandardCharsets.UTF_8),
				new PrintStream(this.errors, true, StandardCharsets.UTF_8), failure)
			.execute(arguments);
	}

	record SampleSettings(@SettingsKey(meaning = "Threads", defaultValue = "3") int workers) {
	}

	private static final class SampleProgram extends CommandLineProgram<SampleSettings> {

		private final @Nullable Exception failure;

		SampleProgram(PrintStream output, PrintStream errors, @Nullable Exception failure) {
			super("sample", SampleSettings.class, output, errors);
			this.failure = failure;
		}

		@Override
		protected ExitCode run(SampleSettings settings, JCommander commander) throws Exception {
			if (this.failure != null) {
				throw this.failure;
			}
			return ExitCode.SUCCESS;
		}

	}

}
