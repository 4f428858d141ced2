package org.banyancove.burn;

import java.util.Map;

import org.banyancove.core.ProfileName;
import org.banyancove.program.SettingsKey;

/**
 * The settings of the report.
 *
 * @param defaultObjective the objective of profiles without an entry in
 * {@code objectives}
 * @param objectives the published objectives by profile
 */
record BurnSettings(@SettingsKey(
		meaning = "The share of requests that should meet the targets, for profiles without an entry in objectives",
		unit = "above 0 and below 1", defaultValue = "0.95") double defaultObjective,
		@SettingsKey(meaning = "The published objectives by profile", unit = "above 0 and below 1",
				defaultValue = "{}") Map<String, Double> objectives) {

	BurnSettings {
		check("default-objective", defaultObjective);
		objectives = Map.copyOf(objectives);
		objectives.forEach((profile, objective) -> check("objectives." + profile, objective));
	}

	double objective(ProfileName profile) {
		return this.objectives.getOrDefault(profile.value(), this.defaultObjective);
	}

	private static void check(String key, double objective) {
		if (!(objective > 0 && objective < 1)) {
			throw new IllegalArgumentException(key + " must be above 0 and below 1: " + objective);
		}
	}

}
