package org.banyancove.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.entry.EntrySettings;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.routing.PlacementSettings;
import org.banyancove.program.SettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class EntryProgramSettingsTests {

	private final SettingsReader reader = new SettingsReader();

	@Test
	void exampleSettingsSetPromptWeightAndNoRegion() {
		assertThat(example("kowhai-lane").placement()).isEqualTo(new PlacementSettings(0.8, 4));
		assertThat(example("lagon-bleu").placement()).isEqualTo(PlacementSettings.DEFAULT);
		assertThat(example("lagon-bleu").region()).isEmpty();
	}

	@Test
	void regionIsPassedToTheCore(@TempDir Path directory) throws IOException {
		EntrySettings settings = EntryDaemon
			.coreSettings(this.reader.read(file(directory, "region = [\"trou-deau\"]"), EntryProgramSettings.class));
		assertThat(settings.region()).containsExactly(new DataCenterName("trou-deau"));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0.5, -1, 100.5 })
	void promptWeightOutOfRangeIsRejected(double weight, @TempDir Path directory) throws IOException {
		Path file = file(directory, "prompt-weight = " + weight);
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(() -> this.reader.read(file, EntryProgramSettings.class))
			.withMessageContaining("endpoints")
			.withMessageContaining("promptWeight must be from 1 to 100: " + weight);
	}

	private EntrySettings example(String user) {
		Path file = Path.of("..", "examples", user, "entry.toml");
		return EntryDaemon.coreSettings(this.reader.read(file, EntryProgramSettings.class));
	}

	private static Path file(Path directory, String endpoints) throws IOException {
		String example = Files.readString(Path.of("..", "examples", "lagon-bleu", "entry.toml"));
		return Files.writeString(directory.resolve("entry.toml"), example + "\n[endpoints]\n" + endpoints + "\n");
	}

}
