package org.banyancove.operate;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.sun.net.httpserver.HttpServer;
import org.banyancove.program.ExitCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

@SuppressWarnings("NullAway.Init")
class OperateProgramTests {

	private static final String PROFILE = """
			[[profiles]]
			name = "dawn"
			first-token-target = "350ms"
			deadline = "5m"
			""";

	private static final String SERVICE = """
			[[services]]
			name = "feed"
			kind = "model"
			profile = "dawn"
			""";

	@TempDir
	private Path directory;

	private SmallLog log;

	private String output = "";

	private String errors = "";

	@BeforeEach
	void start() throws IOException {
		this.log = new SmallLog();
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	@Test
	void publishesThenListsShowsChangesAndRetires() throws IOException {
		assertThat(publish(PROFILE + SERVICE)).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).containsExactly("accepted 0 profile dawn", "accepted 1 service feed");
		assertThat(publish(PROFILE + SERVICE)).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).containsExactly("unchanged");
		assertThat(execute("list")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output).contains("dawn", "feed", "ACTIVE under profile dawn");
		execute("show", "dawn");
		Path shown = file(this.output.replace("priority = 5", "priority = 6"));
		assertThat(execute("change", shown.toString(), "--expected-revision", "0")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).containsExactly("accepted 2 profile dawn");
		assertThat(execute("retire", "feed")).isEqualTo(ExitCode.SUCCESS);
		execute("show", "feed");
		assertThat(this.output).contains("# revision 3, retired",
				"repeatable-methods = [\"GET\", \"HEAD\", \"OPTIONS\"]");
	}

	// Publishing the file of all services again must not reactivate a service that was
	// retired since. Only a change that names its revision reactivates the service.
	@Test
	void publishingAFileAgainDoesNotReactivateARetiredService() throws IOException {
		publish(PROFILE + SERVICE);
		execute("retire", "feed");
		assertThat(publish(PROFILE + SERVICE)).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output).contains("skipped retired service feed");
		assertThat(execute("change", file(SERVICE).toString(), "--expected-revision", "2")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).containsExactly("accepted 3 service feed");
	}

	// An append takes effect but its response is lost. The command must report "accepted"
	// with the revision from the stream, and must not append the record again.
	@Test
	void outcomeOfALostResponseIsReadFromTheStream() throws IOException {
		this.log.injectFaults(SmallLog.Fault.RESPONSE_LOST);
		assertThat(publish(PROFILE)).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).containsExactly("accepted 0 profile dawn");
		assertThat(this.log.size()).isOne();
	}

	// An append without a response is not yet in the stream, so the command appends the
	// record again, and then both copies take effect. The second copy must be ignored and
	// the revision of the first one reported.
	@Test
	void duplicateOfADelayedAppendIsIgnored() throws IOException {
		this.log.injectFaults(SmallLog.Fault.REJECTED, SmallLog.Fault.APPEND_DELAYED);
		assertThat(publish(PROFILE)).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).containsExactly("accepted 0 profile dawn");
		assertThat(this.log.size()).isEqualTo(2);
	}

	// Another operator's change of the same profile precedes this one in the stream. The
	// log accepts both appends, so only the decision over the stream finds the conflict;
	// the command must report "rejected".
	@Test
	void secondOfTwoConcurrentChangesIsRejected() throws IOException {
		this.log.injectFaults(SmallLog.Fault.CONCURRENT_CHANGE);
		assertThat(publish(PROFILE)).isEqualTo(ExitCode.REVISION_CONFLICT);
		assertThat(this.output.lines()).containsExactly("rejected profile dawn made from revision -1");
		assertThat(this.errors).startsWith("error: revision_conflict: ");
	}

	@Test
	void changeBasedOnAnotherRevisionIsRejected() throws IOException {
		publish(PROFILE);
		Path file = file(PROFILE + "priority = 1\n");
		assertThat(execute("change", file.toString(), "--expected-revision", "7"))
			.isEqualTo(ExitCode.REVISION_CONFLICT);
		assertThat(execute("change", file(PROFILE + SERVICE).toString(), "--expected-revision", "0"))
			.isEqualTo(ExitCode.USAGE);
	}

	// Retention has trimmed the stream and it contains no checkpoint. The command must
	// not treat the empty stream as "nothing is published" and overwrite profiles.
	@Test
	void trimmedLogIsNotTreatedAsEmpty() throws IOException {
		publish(PROFILE);
		this.log.trimAll();
		assertThat(publish(PROFILE + "priority = 1\n")).isEqualTo(ExitCode.PLATFORM_UNREACHABLE);
		assertThat(this.log.size()).isOne();
	}

	@Test
	void invalidInputAndUnreachablePlatformHaveTheirExitCodes() throws IOException {
		assertThat(publish(PROFILE + "objective = 1.5\n")).isEqualTo(ExitCode.USAGE);
		assertThat(this.errors).contains("profiles[0]", "objective must be above 0 and below 1: 1.5");
		assertThat(publish(PROFILE + "colour = 1\n")).isEqualTo(ExitCode.USAGE);
		assertThat(execute("dance")).isEqualTo(ExitCode.USAGE);
		assertThat(execute()).isEqualTo(ExitCode.USAGE);
		assertThat(execute("retire", "none")).isEqualTo(ExitCode.FAILURE);
		assertThat(execute("keys")).isEqualTo(ExitCode.SUCCESS);
		this.log.close();
		assertThat(execute("list")).isEqualTo(ExitCode.PLATFORM_UNREACHABLE);
	}

	@ParameterizedTest
	@ValueSource(strings = { "lagon-bleu", "kowhai-lane" })
	void examplesCanBePublished(String user) throws IOException {
		Path example = Path.of("..", "examples", user, "profiles.toml");
		assertThat(execute("publish", example.toString())).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.lines()).hasSize(5).allMatch((line) -> line.startsWith("accepted "));
	}

	@Test
	void printsTheStatusOfAnEntry() throws IOException {
		HttpServer entry = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		entry.createContext("/status", (exchange) -> {
			exchange.sendResponseHeaders(200, 2);
			exchange.getResponseBody().write("{}".getBytes(StandardCharsets.UTF_8));
			exchange.close();
		});
		entry.start();
		String address = "http://127.0.0.1:" + entry.getAddress().getPort();
		assertThat(execute("status", "--entry", address)).isEqualTo(ExitCode.SUCCESS);
		entry.stop(0);
		assertThat(this.output.strip()).isEqualTo("{}");
	}

	private ExitCode publish(String content) throws IOException {
		return execute("publish", file(content).toString());
	}

	private Path file(String content) throws IOException {
		return Files.writeString(this.directory.resolve("profiles.toml"), content);
	}

	private ExitCode execute(String... command) throws IOException {
		Path settings = Files.writeString(this.directory.resolve("operate.toml"),
				"platform = \"" + this.log.address() + "\"\npatience = \"2s\"\n");
		String[] arguments = new String[command.length + 2];
		arguments[0] = "--settings";
		arguments[1] = settings.toString();
		System.arraycopy(command, 0, arguments, 2, command.length);
		ByteArrayOutputStream outputBytes = new ByteArrayOutputStream();
		ByteArrayOutputStream errorBytes = new ByteArrayOutputStream();
		ExitCode code = new OperateProgram(new PrintStream(outputBytes, true, StandardCharsets.UTF_8),
				new PrintStream(errorBytes, true, StandardCharsets.UTF_8))
			.execute(arguments);
		this.output = outputBytes.toString(StandardCharsets.UTF_8);
		this.errors = errorBytes.toString(StandardCharsets.UTF_8);
		return code;
	}

}
