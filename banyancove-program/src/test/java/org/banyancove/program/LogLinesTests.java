package org.banyancove.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;

import static org.assertj.core.api.Assertions.assertThat;

class LogLinesTests {

	@Test
	void eachLineIsJsonWithTheRequestIdentifier() throws IOException {
		PrintStream originalErr = System.err;
		ByteArrayOutputStream lines = new ByteArrayOutputStream();
		System.setErr(new PrintStream(lines, true, StandardCharsets.UTF_8));
		try (MDC.MDCCloseable request = MDC.putCloseable("requestId", "request-7")) {
			assertThat(request).isNotNull();
			LoggerFactory.getLogger(LogLinesTests.class).warn("first line\nsecond line");
		}
		finally {
			System.setErr(originalErr);
		}
		assertThat(lines.toString(StandardCharsets.UTF_8).lines()).hasSize(1);
		JsonNode line = new ObjectMapper().readTree(lines.toByteArray());
		assertThat(line.get("requestId").asText()).isEqualTo("request-7");
		assertThat(line.get("message").asText()).isEqualTo("first line\nsecond line");
		assertThat(line.get("level").asText()).isEqualTo("WARN");
		assertThat(line.has("@timestamp")).isTrue();
		assertThat(line.has("level_value")).isFalse();
	}

}
