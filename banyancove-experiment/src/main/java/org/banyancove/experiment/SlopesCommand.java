package org.banyancove.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Measures how the time of a placement and the memory of its state scale with the number
 * of endpoints.
 */
@Parameters(commandDescription = "Measures nanoseconds per placement and bytes per endpoint and request")
final class SlopesCommand {

	@Parameter(names = "--endpoints", description = "The numbers of endpoints, separated by commas")
	private List<Integer> endpoints = List.of(11, 1000, 12_000);

	@Parameter(names = "--regions",
			description = "The regions that the data centers are divided into; the entry keeps one")
	private int regions = 1;

	@Parameter(names = "--placements", description = "The number of placements measured for each number of endpoints")
	private int placements = 200_000;

	@Parameter(names = "--seed", description = "The seed")
	private long seed = 1;

	void run(PrintStream output) {
		output.printf("%10s %16s %16s %16s %16s %16s%n", "endpoints", "policy", "ns/placement", "bytes/endpoint",
				"bytes/request", "learned/endpoint");
		for (int count : this.endpoints) {
			for (SlopeMeasurement.Row row : new SlopeMeasurement(count, this.regions, this.placements, this.seed)
				.measure()) {
				output.printf(Locale.ROOT, "%10d %16s %16.0f %16.0f %16.0f %16.0f%n", count, row.policy(),
						row.nanosPerPlacement(), row.bytesPerEndpoint(), row.bytesPerRequest(),
						row.learnedBytesPerEndpoint());
			}
		}
	}

}
