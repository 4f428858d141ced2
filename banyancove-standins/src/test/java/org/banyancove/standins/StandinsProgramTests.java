package org.banyancove.standins;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.banyancove.program.ExitCode;
import org.banyancove.standins.service.ServiceOptions;
import org.banyancove.standins.service.ServiceStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StandinsProgramTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@ParameterizedTest
	@ValueSource(strings = { "", "gateway", "engine --address 192.0.2.1:0", "platform --list-lag soon",
			"load --target http://192.0.2.1:80", "load --target http://127.0.0.1:1 --concurrency 100000" })
	void reportsInvalidCommandLineInOneLine(String line) {
		assertThat(execute(line)).isEqualTo(ExitCode.USAGE);
		assertThat(this.errors.toString(StandardCharsets.UTF_8).lines()).singleElement()
			.asString()
			.startsWith("error: settings_invalid: ");
	}

	@Test
	void failsIfAddressIsInUse() {
		try (ServiceStandin service = new ServiceStandin(ServiceOptions.defaults())) {
			assertThat(execute("engine --address 127.0.0.1:" + service.address().getPort()))
				.isEqualTo(ExitCode.ADDRESS_IN_USE);
		}
	}

	@Test
	void runsLoadAndPrintsReport() {
		try (ServiceStandin service = new ServiceStandin(ServiceOptions.defaults()).start()) {
			assertThat(execute(
					"load --chat-share 0 --requests 5 --json --target http://127.0.0.1:" + service.address().getPort()))
				.isEqualTo(ExitCode.SUCCESS);
		}
		assertThat(this.output.toString(StandardCharsets.UTF_8)).contains("\"succeeded\":5");
	}

	private ExitCode execute(String line) {
		String[] arguments = line.isEmpty() ? new String[0] : line.split(" ");
		return new StandinsProgram(new PrintStream(this.output, true, StandardCharsets.UTF_8),
				new PrintStream(this.errors, true, StandardCharsets.UTF_8))
			.execute(arguments);
	}

}
