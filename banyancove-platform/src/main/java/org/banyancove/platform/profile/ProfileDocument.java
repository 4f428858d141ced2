package org.banyancove.platform.profile;

import java.time.Duration;

import org.banyancove.core.ProfileName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;

/**
 * The JSON document of a profile.
 */
record ProfileDocument(String name, String firstTokenTarget, String tokenTarget, String deadline, double objective,
		int priority, String policy, double retryRatio, double accountShare, boolean keyRequired,
		int maximumBodyBytes) {

	static ProfileDocument of(Profile profile) {
		return new ProfileDocument(profile.name().value(), profile.firstTokenTarget().toString(),
				profile.tokenTarget().toString(), profile.deadline().toString(), profile.objective(),
				profile.priority(), profile.policy().name(), profile.retryRatio(), profile.accountShare(),
				profile.keyRequired(), profile.maximumBodyBytes());
	}

	Profile profile() {
		return new Profile(new ProfileName(this.name), Duration.parse(this.firstTokenTarget),
				Duration.parse(this.tokenTarget), Duration.parse(this.deadline), this.objective, this.priority,
				PlacementPolicyName.valueOf(this.policy), this.retryRatio, this.accountShare, this.keyRequired,
				this.maximumBodyBytes);
	}

}
