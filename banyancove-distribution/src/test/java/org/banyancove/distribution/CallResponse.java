package org.banyancove.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpHeaders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body text
 */
record CallResponse(int status, HttpHeaders headers, String body) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	String errorCode() {
		return header("X-Error-Code");
	}

	String execution() {
		return header("X-Call-Execution");
	}

	boolean isRepeated() {
		return header("X-Repeated-Answer").equals("true");
	}

	String header(String name) {
		return this.headers.firstValue(name).orElse("");
	}

	JsonNode json() {
		try {
			return MAPPER.readTree(this.body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	String text() {
		return json().at("/choices/0/message/content").asText();
	}

}
