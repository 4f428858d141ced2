package org.banyancove.planner;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.banyancove.program.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlannerProgramTests {

	private static final Path EXAMPLE = Path.of("..", "examples", "lagon-bleu", "planner.toml");

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@TempDir
	Path directory;

	@Test
	void printSettingsListsEveryKeyWithItsMeaning() {
		assertThat(execute("--print-settings")).isEqualTo(ExitCode.SUCCESS);
		assertThat(text(this.output).lines()).hasSizeGreaterThan(20)
			.contains("pace.lease  (duration, default 15s)  how long the data center's lease lasts without a renewal");
	}

	// An invalid setting is rejected before the program starts, and one line names it.
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			target = 200.0       | target = -1.0       | target must not be negative
			target = 200.0       | tarrget = 200.0     | unknown key 'capacity.tarrget'
			target = 200.0       | target = "many"     | capacity.target
			lease = "15s"        | lease = "15"        | a duration must be
			lease = "15s"        | lease = "0s"        | lease must be positive
			lease = "15s"        | lease = "1h"        | lease must be at most
			capacity = 180.0     | capacity = 0.0      | capacity of 'gpu-2' must be positive
			name = "gpu-2"       | name = "gpu-1"      | names the class 'gpu-1' twice
			service = "feed"     | service = ""        | must not be blank
			""")
	void invalidSettingIsReported(String valid, String invalid, String message) throws IOException {
		String example = Files.readString(EXAMPLE);
		assertThat(example).contains(valid);
		Path file = Files.writeString(this.directory.resolve("planner.toml"), example.replace(valid, invalid));
		assertThat(execute("--settings", file.toString(), "--check-settings")).isEqualTo(ExitCode.USAGE);
		assertThat(text(this.errors).lines()).singleElement()
			.asString()
			.startsWith("error: settings_invalid: ")
			.contains(message);
	}

	@Test
	void addressInUseHasItsOwnExitCode() throws IOException {
		try (ServerSocket occupied = new ServerSocket(0)) {
			String example = Files.readString(EXAMPLE).replace(":8081", ":" + occupied.getLocalPort());
			Path file = Files.writeString(this.directory.resolve("planner.toml"), example);
			assertThat(execute("--settings", file.toString())).isEqualTo(ExitCode.ADDRESS_IN_USE);
			assertThat(text(this.errors)).startsWith("error: address_in_use: ");
		}
	}

	private ExitCode execute(String... arguments) {
		return new PlannerProgram(printStream(this.output), printStream(this.errors)).execute(arguments);
	}

	private static PrintStream printStream(ByteArrayOutputStream bytes) {
		return new PrintStream(bytes, true, StandardCharsets.UTF_8);
	}

	private static String text(ByteArrayOutputStream bytes) {
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
