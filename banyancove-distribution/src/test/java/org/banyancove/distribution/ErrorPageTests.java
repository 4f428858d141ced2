package org.banyancove.distribution;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.banyancove.core.error.ErrorKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the documentation of error kinds matches the code.
 */
class ErrorPageTests {

	@Test
	void pageListsEveryKindWithItsResponse() throws IOException {
		String page = Files.readString(Path.of("..", "docs", "ERRORS.md"));
		for (ErrorKind kind : ErrorKind.values()) {
			assertThat(page)
				.contains("| `%s` | %d | %s | ".formatted(kind.code(), kind.status(), kind.execution().headerValue()));
			assertThat(page).contains("| " + kind.meaning() + " |");
		}
		assertThat(page.lines().filter((line) -> line.startsWith("| `"))).hasSize(ErrorKind.values().length);
	}

}
