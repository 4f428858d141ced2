package org.banyancove.program;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.PathConverter;
import org.jspecify.annotations.Nullable;

/**
 * The command-line options of all programs.
 */
final class StandardOptions {

	@Parameter(names = "--help", help = true, description = "Print this help and exit")
	boolean help;

	@Parameter(names = "--version", help = true, description = "Print the version and exit")
	boolean version;

	@Parameter(names = "--settings", converter = PathConverter.class, description = "The TOML settings file")
	@Nullable Path settings;

	@Parameter(names = "--check-settings", help = true, description = "Check the settings file and exit")
	boolean checkSettings;

	@Parameter(names = "--print-settings", help = true,
			description = "List all settings keys with type, unit, default and description, and exit")
	boolean printSettings;

}
