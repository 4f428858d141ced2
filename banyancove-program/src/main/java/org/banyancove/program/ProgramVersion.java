package org.banyancove.program;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/**
 * Reads the version that the build stored in the program's resources.
 */
final class ProgramVersion {

	private static final String RESOURCE = "version.properties";

	private ProgramVersion() {
	}

	static String read() {
		try (InputStream resource = ProgramVersion.class.getResourceAsStream(RESOURCE)) {
			if (resource == null) {
				return "unknown";
			}
			Properties properties = new Properties();
			properties.load(resource);
			return properties.getProperty("version", "unknown");
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot read " + RESOURCE, ex);
		}
	}

}
