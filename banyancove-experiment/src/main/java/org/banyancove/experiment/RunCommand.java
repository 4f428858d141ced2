package org.banyancove.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.banyancove.core.profile.PlacementPolicyName;
import org.jspecify.annotations.Nullable;

/**
 * Simulates placement policies on the seeded workload of a user and reports their cost.
 */
@Parameters(commandDescription = "Measures placement policies on the seeded workload of a user")
final class RunCommand {

	private static final String ALL = "all";

	@Parameter(names = "--user", description = "lagon-bleu, kowhai-lane or all")
	private String user = ALL;

	@Parameter(names = "--policy", description = "cost-at-target, round-robin, least-in-flight, two-choices or all")
	private String policy = ALL;

	@Parameter(names = "--scenario", description = "calm, full, overload, triple, reclaim-wave or all")
	private String scenario = Scenario.CALM.label();

	@Parameter(names = "--seed", description = "The seeds, separated by commas")
	private List<Long> seeds = List.of(1L);

	@Parameter(names = "--entries",
			description = "The number of entries that share the endpoints, over three data centers")
	private int entries = 1;

	@Parameter(names = "--seconds", description = "The simulated seconds")
	private int seconds = 600;

	@Parameter(names = "--limits", description = "on, or off to place every request at once", arity = 1)
	private String limits = "on";

	@Parameter(names = "--json", description = "The file for the results as JSON")
	private @Nullable String json;

	@Parameter(names = "--plot", description = "The PNG file for a plot of the costs")
	private @Nullable String plot;

	void run(PrintStream output) {
		List<RunResult> results = new ArrayList<>();
		for (UserModel userModel : users()) {
			for (Scenario runScenario : scenarios()) {
				for (PlacementPolicyName policyName : policies()) {
					for (long seed : this.seeds) {
						RunSettings settings = new RunSettings(userModel, runScenario, policyName, this.entries, seed,
								this.seconds, !"off".equals(this.limits));
						results.add(new Simulation(settings).run());
					}
				}
			}
		}
		output.print(ResultTable.format(results));
		if (this.json != null) {
			writeJson(results, Path.of(this.json));
		}
		if (this.plot != null) {
			ResultPlot.write(results, Path.of(this.plot));
		}
	}

	private List<UserModel> users() {
		return (ALL.equals(this.user) ? List.of(UserModel.values()) : List.of(UserModel.parse(this.user)));
	}

	private List<Scenario> scenarios() {
		return (ALL.equals(this.scenario) ? List.of(Scenario.values()) : List.of(Scenario.parse(this.scenario)));
	}

	private List<PlacementPolicyName> policies() {
		if (ALL.equals(this.policy)) {
			return List.of(PlacementPolicyName.values());
		}
		return List.of(PlacementPolicyName.valueOf(this.policy.toUpperCase(Locale.ROOT).replace('-', '_')));
	}

	private static void writeJson(List<RunResult> results, Path file) {
		ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
		try {
			Files.writeString(file, mapper.writeValueAsString(results));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write the results to " + file, ex);
		}
	}

}
