package org.banyancove.operate;

import java.net.URI;
import java.time.Duration;

import org.banyancove.program.SettingsKey;

/**
 * The settings of the command-line program for operators.
 *
 * @param platform the platform's address
 * @param callTimeout the timeout of one call to the platform
 * @param patience how long the command retries while the platform does not respond
 */
record OperateSettings(
		@SettingsKey(meaning = "The platform's address", defaultValue = "http://127.0.0.1:7000") URI platform,
		@SettingsKey(meaning = "The timeout of one call to the platform", defaultValue = "3s") Duration callTimeout,
		@SettingsKey(meaning = "How long the command retries while the platform does not respond",
				defaultValue = "60s") Duration patience) {

	OperateSettings {
		checkPositive("call-timeout", callTimeout);
		checkPositive("patience", patience);
	}

	private static void checkPositive(String key, Duration value) {
		if (!value.isPositive()) {
			throw new IllegalArgumentException(key + " must be positive: " + value);
		}
	}

}
