package org.banyancove.burn;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import javax.imageio.ImageIO;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyancove.program.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class BurnProgramTests {

	private static final Instant END = Instant.parse("2026-01-04T06:00:00Z");

	@TempDir
	@SuppressWarnings("NullAway.Init")
	private Path directory;

	private String output = "";

	private String errors = "";

	// In the last hour before the report, one profile misses its target, mostly for one
	// large account, while another profile meets its target. Only the first profile must
	// have an alarm.
	@Test
	void reportsATraceAsTableJsonAndPlot() throws IOException {
		Path trace = write("trace.jsonl", trace());
		Path settings = write("burn.toml", "[objectives]\ndawn-plans = 0.95\nday-answers = 0.9\n");
		Path json = this.directory.resolve("burn.json");
		Path plot = this.directory.resolve("burn.png");
		assertThat(execute("--settings", settings.toString(), "--trace", trace.toString(), "--json", json.toString(),
				"--plot", plot.toString()))
			.isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output).containsPattern("dawn-plans +\\* .* fast")
			.containsPattern("day-answers +\\* .* -")
			.containsPattern("dawn-plans +skippers");
		JsonNode rows = new ObjectMapper().readTree(json.toFile()).get("rows");
		assertThat(rows.get(0).get("objective").asDouble()).isEqualTo(0.95);
		assertThat(rows.get(0).get("windows")).hasSize(5);
		assertThat(rows.get(0).get("alarms").get(0).asText()).isEqualTo("fast");
		assertThat(ImageIO.read(plot.toFile()).getWidth()).isGreaterThan(500);
	}

	// An entry restarts between two snapshots, which resets its counters. Requests
	// counted before the first snapshot must not be part of the report.
	@Test
	void countsIncreasesOfMetricsAcrossARestart() throws IOException {
		Path metrics = write("entry-1.metrics", """
				# at 2026-01-04T05:57:00Z
				banyancove_objective_requests_total{account="a",met="true",profile="dawn"} 100.0
				# at 2026-01-04T05:58:00Z
				banyancove_objective_requests_total{account="a",met="true",profile="dawn"} 160.0
				banyancove_objective_requests_total{account="a",met="false",profile="dawn"} 20.0
				# at 2026-01-04T05:59:00Z
				banyancove_objective_requests_total{account="a",met="true",profile="dawn"} 15.0
				banyancove_objective_requests_total{account="a",met="false",profile="dawn"} 5.0
				other_total 7
				""");
		Path json = this.directory.resolve("burn.json");
		assertThat(execute("--metrics", metrics.toString(), "--at", "2026-01-04T06:00:00Z", "--json", json.toString()))
			.isEqualTo(ExitCode.SUCCESS);
		JsonNode window = new ObjectMapper().readTree(json.toFile()).get("rows").get(0).get("windows").get(0);
		assertThat(window.get("total").asInt()).isEqualTo(100);
		assertThat(window.get("missed").asInt()).isEqualTo(25);
		assertThat(window.get("rate").asDouble()).isBetween(4.99, 5.01);
	}

	@Test
	void invalidInputIsReported() throws IOException {
		assertThat(execute()).isEqualTo(ExitCode.USAGE);
		assertThat(execute("--trace", write("t", "{}\n").toString())).isEqualTo(ExitCode.USAGE);
		assertThat(this.errors).contains("line 1 is not a recorded request: {}");
		assertThat(execute("--trace", write("t", "").toString())).isEqualTo(ExitCode.USAGE);
		assertThat(execute("--trace", write("t", "").toString(), "--at", "noon")).isEqualTo(ExitCode.USAGE);
		assertThat(execute("--settings", write("s", "default-objective = 1.0\n").toString(), "--trace", "x"))
			.isEqualTo(ExitCode.USAGE);
		assertThat(this.errors).contains("default-objective must be above 0 and below 1: 1.0");
	}

	private static String trace() {
		Random random = new Random(5);
		List<String> lines = new ArrayList<>();
		for (int minute = 0; minute < 3 * 24 * 60; minute += 2) {
			Instant at = END.minus(Duration.ofMinutes(minute));
			boolean skippers = random.nextBoolean();
			boolean late = random.nextDouble() < ((minute < 60) ? (skippers ? 0.95 : 0.8) : 0.03);
			lines.add(line(at, skippers ? "skippers" : "farm-managers", "dawn-plans", !late));
			lines.add(line(at, "stock-desk", "day-answers", random.nextDouble() < 0.96));
		}
		return String.join("\n", lines);
	}

	private static String line(Instant at, String account, String profile, boolean met) {
		return """
				{"at":"%s","requestId":"r-%s","account":"%s","service":"feed-planner","profile":"%s",\
				"firstTokenMillis":%s,"totalMillis":2400,"met":%s,"errorCode":%s}""".formatted(at, at.getEpochSecond(),
				account, profile, met ? "300" : "null", met, met ? "null" : "\"overloaded\"");
	}

	private Path write(String name, String content) throws IOException {
		return Files.writeString(this.directory.resolve(name), content);
	}

	private ExitCode execute(String... arguments) {
		ByteArrayOutputStream outputBytes = new ByteArrayOutputStream();
		ByteArrayOutputStream errorBytes = new ByteArrayOutputStream();
		ExitCode code = new BurnProgram(new PrintStream(outputBytes, true, StandardCharsets.UTF_8),
				new PrintStream(errorBytes, true, StandardCharsets.UTF_8))
			.execute(arguments);
		this.output = outputBytes.toString(StandardCharsets.UTF_8);
		this.errors = errorBytes.toString(StandardCharsets.UTF_8);
		return code;
	}

}
