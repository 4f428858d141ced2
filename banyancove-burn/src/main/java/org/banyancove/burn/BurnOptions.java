package org.banyancove.burn;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.PathConverter;
import org.jspecify.annotations.Nullable;

/**
 * The options of the report.
 */
final class BurnOptions {

	@Parameter(names = "--trace", converter = PathConverter.class,
			description = "A recorded trace, one JSON object per request and line; may be repeated")
	List<Path> traces = new ArrayList<>();

	@Parameter(names = "--metrics", converter = PathConverter.class,
			description = "Snapshots of one entry's metrics, each after a line '# at <time>'; may be repeated")
	List<Path> metrics = new ArrayList<>();

	@Parameter(names = "--at", description = "The time of the report; the time of the last request by default")
	@Nullable String at;

	@Parameter(names = "--json", converter = PathConverter.class, description = "Write the report as JSON to this file")
	@Nullable Path json;

	@Parameter(names = "--plot", converter = PathConverter.class,
			description = "Write a plot of each profile's burn rate as PNG to this file")
	@Nullable Path plot;

}
