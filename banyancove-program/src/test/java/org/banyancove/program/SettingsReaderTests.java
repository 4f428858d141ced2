package org.banyancove.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.banyancove.core.ZoneName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SettingsReaderTests {

	@TempDir
	@SuppressWarnings("NullAway.Init")
	private Path directory;

	private final SettingsReader reader = new SettingsReader();

	@Test
	void readsTablesDurationsIdentifiersAndDefaults() throws IOException {
		Path file = write("""
				listen-address = "127.0.0.1:0"
				zone = "mahebourg-a"
				[[peers]]
				address = "127.0.0.1:1"
				[accounts.fleet]
				address = "x"
				""");
		assertThat(this.reader.read(file, Sample.class))
			.isEqualTo(new Sample("127.0.0.1:0", new ZoneName("mahebourg-a"), Duration.ofMillis(250), 7, null,
					new Limits(0.5, Mode.FAST), List.of(new Peer("127.0.0.1:1")), Map.of("fleet", new Peer("x"))));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			zone = "z"                                 | key 'listen-address' is missing
			listen-address = 3 ; zone = "z"            | key 'listen-address' has the wrong value 3
			listen-address = "a" ; zone = ""           | key 'zone' has the wrong value "": ZoneName must not be blank
			listen-address = "a" ; zone = "z" ; y = 1  | unknown key 'y' with value 1
			listen-address = "a" ; zone = "z" ; workers = "7"      | key 'workers' has the wrong value "7"
			listen-address = "a" ; zone = "z" ; workers = 1.5      | key 'workers' has the wrong value 1.5
			listen-address = "a" ; zone = "z" ; interval = "5 min" | key 'interval' has the wrong value "5 min"
			listen-address = "a" ; zone = "z" ; interval = 5       | key 'interval' has the wrong value 5
			listen-address = "a" ; zone = "z" ; limits.share = 2.0 | share must be at most 1: 2.0
			listen-address = "a" ; zone = "z" ; limits.mode = "x"  | key 'limits.mode' has the wrong value "x"
			listen-address = "a" ; zone = "z" ; limits = 3         | key 'limits' must be a table, is 3
			listen-address = "a" ; zone = "z" ; peers = [{}]       | key 'peers[0].address' is missing
			listen-address =                                       | line 1
			""")
	void rejectsInvalidSettingsWithFileKeyAndValue(String settings, String message) throws IOException {
		Path file = write(settings.replace(" ; ", "\n"));
		assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.reader.read(file, Sample.class))
			.withMessageContaining(file.toString())
			.withMessageContaining(message)
			.satisfies((ex) -> assertThat(ex.kind()).isEqualTo(ErrorKind.SETTINGS_INVALID));
	}

	@Test
	void rejectsAFileThatDoesNotExist() {
		Path file = this.directory.resolve("none.toml");
		assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.reader.read(file, Sample.class))
			.withMessageContaining(file.toString());
	}

	@Test
	void describesAllKeys() {
		assertThat(this.reader.describe(Sample.class)).contains(
				"interval  (duration, default 250ms)  Time between two probes", "zone  (text, required)",
				"limits.share  (double, share, default 0.5)  Largest share", "peers[].address  (text, required)",
				"limits.mode  (fast|slow, default fast)  Mode");
	}

	@Test
	void formatsDurationsInTheUnitThatWasParsed() {
		for (String text : List.of("250ms", "12s", "5m", "6h", "3d", "0s")) {
			assertThat(DurationText.format(DurationText.parse(text))).isEqualTo(text);
		}
	}

	private Path write(String settings) throws IOException {
		return Files.writeString(this.directory.resolve("sample.toml"), settings);
	}

	enum Mode {

		FAST, SLOW

	}

	record Peer(String address) {
	}

	record Limits(@SettingsKey(meaning = "Largest share", unit = "share", defaultValue = "0.5") double share,
			@SettingsKey(meaning = "Mode", defaultValue = "fast") Mode mode) {

		Limits {
			if (share > 1) {
				throw new IllegalArgumentException("share must be at most 1: " + share);
			}
		}

	}

	record Sample(@SettingsKey(meaning = "Where callers connect") String listenAddress, ZoneName zone,
			@SettingsKey(meaning = "Time between two probes", defaultValue = "250ms") Duration interval,
			@SettingsKey(meaning = "Threads", defaultValue = "7") int workers,
			@SettingsKey(meaning = "Trace file", optional = true) @Nullable String trace, Limits limits,
			@SettingsKey(meaning = "Peers", defaultValue = "[]") List<Peer> peers,
			@SettingsKey(meaning = "Accounts", defaultValue = "{}") Map<String, Peer> accounts) {
	}

}
