package org.banyancove.operate;

import java.util.Locale;
import java.util.StringJoiner;

import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.PublishedProfile;
import org.banyancove.core.profile.PublishedService;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.program.DurationText;

/**
 * Formats profiles and services as TOML that {@code publish} and {@code change} read.
 */
final class ProfileTomlFormatter {

	private ProfileTomlFormatter() {
	}

	static String format(PublishedProfile published) {
		Profile profile = published.profile();
		return """
				# revision %d
				[[profiles]]
				name = "%s"
				first-token-target = "%s"
				token-target = "%s"
				deadline = "%s"
				objective = %s
				priority = %d
				policy = "%s"
				retry-ratio = %s
				account-share = %s
				key-required = %s
				maximum-body-bytes = %d""".formatted(published.revision(), profile.name(),
				DurationText.format(profile.firstTokenTarget()), DurationText.format(profile.tokenTarget()),
				DurationText.format(profile.deadline()), profile.objective(), profile.priority(),
				profile.policy().name().toLowerCase(Locale.ROOT), profile.retryRatio(), profile.accountShare(),
				profile.keyRequired(), profile.maximumBodyBytes());
	}

	static String format(PublishedService published) {
		ServiceDefinition service = published.service();
		StringJoiner methods = new StringJoiner("\", \"", "[\"", "\"]").setEmptyValue("[]");
		service.repeatableMethods().stream().sorted().forEach(methods::add);
		return """
				# revision %d, %s
				[[services]]
				name = "%s"
				kind = "%s"
				profile = "%s"
				repeatable-methods = %s
				checks-fence = %s""".formatted(published.revision(), service.state().name().toLowerCase(Locale.ROOT),
				service.name(), service.kind().name().toLowerCase(Locale.ROOT), service.profile(), methods,
				service.checksFence());
	}

}
