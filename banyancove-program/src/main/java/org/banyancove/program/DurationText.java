package org.banyancove.program;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations in the form used in settings: {@code 250ms}, {@code 12s},
 * {@code 5m}, {@code 6h}, {@code 3d}.
 */
public final class DurationText {

	private static final Pattern PATTERN = Pattern.compile("(\\d{1,12})(ms|s|m|h|d)");

	private DurationText() {
	}

	/**
	 * Parses a duration.
	 * @param text a whole number followed by its unit
	 * @return the duration
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static Duration parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException(
					"a duration must be a whole number with its unit ms, s, m, h or d: '" + text + "'");
		}
		long amount = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			case "h" -> Duration.ofHours(amount);
			default -> Duration.ofDays(amount);
		};
	}

	/**
	 * Formats a duration in the largest unit that represents it without a fraction.
	 * @param duration the duration, in whole milliseconds
	 * @return the text, as accepted by {@link #parse(String)}
	 */
	public static String format(Duration duration) {
		long millis = duration.toMillis();
		if (millis == 0) {
			return "0s";
		}
		if (millis % Duration.ofDays(1).toMillis() == 0) {
			return duration.toDays() + "d";
		}
		if (millis % Duration.ofHours(1).toMillis() == 0) {
			return duration.toHours() + "h";
		}
		if (millis % Duration.ofMinutes(1).toMillis() == 0) {
			return duration.toMinutes() + "m";
		}
		if (millis % Duration.ofSeconds(1).toMillis() == 0) {
			return duration.toSeconds() + "s";
		}
		return millis + "ms";
	}

}
