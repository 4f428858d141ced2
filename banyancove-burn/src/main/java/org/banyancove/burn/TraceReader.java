package org.banyancove.burn;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.burn.RequestSample;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.program.RequestSampleJson;

/**
 * Reads a recorded trace with one JSON object per request and line.
 */
final class TraceReader {

	private final RequestSampleJson json = new RequestSampleJson();

	/**
	 * Reads a trace.
	 * @param file the file
	 * @return the requests, in the order of the file
	 * @throws BanyancoveException of kind {@link ErrorKind#SETTINGS_INVALID} if the file
	 * cannot be read; the message contains the number of the invalid line
	 */
	List<RequestSample> read(Path file) {
		List<RequestSample> samples = new ArrayList<>();
		try (BufferedReader reader = Files.newBufferedReader(file)) {
			int lineNumber = 0;
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				lineNumber++;
				if (!line.isBlank()) {
					samples.add(parse(file, lineNumber, line));
				}
			}
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.SETTINGS_INVALID, file + ": cannot be read: " + ex, ex);
		}
		return samples;
	}

	private RequestSample parse(Path file, int lineNumber, String line) {
		try {
			return this.json.read(line);
		}
		catch (IllegalArgumentException ex) {
			throw new BanyancoveException(ErrorKind.SETTINGS_INVALID,
					file + ": line " + lineNumber + " is " + ex.getMessage(), ex);
		}
	}

}
