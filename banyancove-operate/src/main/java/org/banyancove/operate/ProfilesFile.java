package org.banyancove.operate;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;
import org.banyancove.program.SettingsKey;

/**
 * The TOML file of profiles and services that operators write.
 *
 * @param profiles the profiles
 * @param services the services
 */
record ProfilesFile(@SettingsKey(meaning = "The profiles", defaultValue = "[]") List<ProfileTable> profiles,
		@SettingsKey(meaning = "The services", defaultValue = "[]") List<ServiceTable> services) {

	/**
	 * A profile in the file. The components are those of {@link Profile}.
	 *
	 * @param name the profile's name
	 */
	record ProfileTable(@SettingsKey(meaning = "The profile's name") ProfileName name, @SettingsKey(
			meaning = "Target time to the first token, or to a plain service's response") Duration firstTokenTarget,
			@SettingsKey(meaning = "Target for the time between tokens", defaultValue = "41ms") Duration tokenTarget,
			@SettingsKey(meaning = "Time after which a response is no longer useful") Duration deadline,
			@SettingsKey(meaning = "Share of requests that should meet the targets", unit = "above 0 and below 1",
					defaultValue = "0.95") double objective,
			@SettingsKey(meaning = "Priority at engines, 0 is the highest", unit = "0 to 9",
					defaultValue = "5") int priority,
			@SettingsKey(meaning = "Placement policy", defaultValue = "cost_at_target") PlacementPolicyName policy,
			@SettingsKey(meaning = "Retries allowed for each first attempt", unit = "0 to 1",
					defaultValue = "0.1") double retryRatio,
			@SettingsKey(meaning = "Largest share of a service that one account may use while others wait",
					unit = "above 0, at most 1", defaultValue = "0.5") double accountShare,
			@SettingsKey(meaning = "Whether a call that may not be repeated must carry an idempotency key",
					defaultValue = "true") boolean keyRequired,
			@SettingsKey(meaning = "Largest request body accepted", unit = "bytes",
					defaultValue = "1048576") int maximumBodyBytes) {

		/**
		 * Creates the table. Validates the components by creating the profile, so that an
		 * error names the position in the file.
		 */
		ProfileTable {
			new Profile(name, firstTokenTarget, tokenTarget, deadline, objective, priority, policy, retryRatio,
					accountShare, keyRequired, maximumBodyBytes);
		}

		Profile profile() {
			return new Profile(this.name, this.firstTokenTarget, this.tokenTarget, this.deadline, this.objective,
					this.priority, this.policy, this.retryRatio, this.accountShare, this.keyRequired,
					this.maximumBodyBytes);
		}

	}

	/**
	 * A service in the file. The components are those of {@link ServiceDefinition}.
	 *
	 * @param name the service's name
	 */
	record ServiceTable(@SettingsKey(meaning = "The name by which callers address the service") ServiceName name,
			@SettingsKey(meaning = "The kind of service") ServiceKind kind,
			@SettingsKey(meaning = "The profile of the service") ProfileName profile,
			@SettingsKey(meaning = "HTTP methods whose calls may be repeated; all others run at most once",
					defaultValue = "[\"GET\", \"HEAD\", \"OPTIONS\"]") Set<String> repeatableMethods,
			@SettingsKey(meaning = "Whether its endpoints reject calls with an outdated fencing token",
					defaultValue = "false") boolean checksFence) {

		ServiceDefinition service() {
			return new ServiceDefinition(this.name, this.kind, this.profile, ServiceState.ACTIVE,
					this.repeatableMethods, this.checksFence);
		}

	}

}
