package org.banyancove.operate;

import java.net.URI;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import com.beust.jcommander.converters.URIConverter;
import org.jspecify.annotations.Nullable;

/**
 * Defines the commands and their options.
 */
final class Commands {

	static final String PUBLISH = "publish";

	static final String CHANGE = "change";

	static final String LIST = "list";

	static final String SHOW = "show";

	static final String RETIRE = "retire";

	static final String STATUS = "status";

	static final String KEYS = "keys";

	private Commands() {
	}

	/**
	 * The options of all commands, given before the command.
	 */
	static final class GlobalOptions {

		@Parameter(names = "--platform", converter = URIConverter.class,
				description = "The platform's address; overrides the settings")
		@Nullable URI platform;

	}

	/**
	 * Publishes the profiles and services of a file.
	 */
	@Parameters(
			commandDescription = "Publish the profiles and services of a TOML file that differ from the published ones")
	static final class Publish {

		@Parameter(description = "<file>", required = true, converter = PathConverter.class)
		@SuppressWarnings("NullAway.Init")
		Path file;

	}

	/**
	 * Changes one profile or service.
	 */
	@Parameters(commandDescription = "Change one profile or service if its current revision is the expected one")
	static final class Change {

		@Parameter(description = "<file with one profile or one service>", required = true,
				converter = PathConverter.class)
		@SuppressWarnings("NullAway.Init")
		Path file;

		@Parameter(names = "--expected-revision", required = true,
				description = "The revision that the change is based on, -1 to create")
		long expectedRevision;

	}

	/**
	 * Lists all profiles and services.
	 */
	@Parameters(commandDescription = "List the published profiles and services with their revisions")
	static final class ListAll {

	}

	/**
	 * Shows the profile and the service of a name.
	 */
	@Parameters(commandDescription = "Show the profile and the service with a name as a TOML file")
	static final class Show {

		@Parameter(description = "<name>", required = true)
		@SuppressWarnings("NullAway.Init")
		String name;

	}

	/**
	 * Retires a service.
	 */
	@Parameters(commandDescription = "Retire a service: new requests are rejected, accepted requests complete")
	static final class Retire {

		@Parameter(description = "<service>", required = true)
		@SuppressWarnings("NullAway.Init")
		String service;

		@Parameter(names = "--expected-revision", description = "The expected revision; the current one by default")
		@Nullable Long expectedRevision;

	}

	/**
	 * Prints the status of an entry process.
	 */
	@Parameters(commandDescription = "Print the status of an entry process and its data center")
	static final class Status {

		@Parameter(names = "--entry", required = true, converter = URIConverter.class,
				description = "The entry's address")
		@SuppressWarnings("NullAway.Init")
		URI entry;

	}

	/**
	 * Lists the keys of a file for {@code publish}.
	 */
	@Parameters(commandDescription = "List the keys of a file for publish with type, unit, default and meaning")
	static final class Keys {

	}

}
