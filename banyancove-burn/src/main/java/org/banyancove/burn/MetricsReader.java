package org.banyancove.burn;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.program.ObjectiveMetrics;

/**
 * Reads snapshots of an entry's metrics: responses of {@code /metrics}, each after a line
 * {@code # at 2026-01-01T00:00:00Z}, in chronological order, one file for each entry.
 * <p>
 * The counter is {@value ObjectiveMetrics#COUNTER} with the labels {@code profile},
 * {@code account} and {@code met}. A counter that has decreased was reset by a restart of
 * the process.
 */
final class MetricsReader {

	private static final Pattern TIME_LINE = Pattern.compile("# at (\\S+)");

	private static final Pattern COUNTER_LINE = Pattern.compile(ObjectiveMetrics.COUNTER + "\\{([^}]*)} (\\S+)");

	private static final Pattern LABEL = Pattern.compile("(\\w+)=\"([^\"]*)\"");

	/**
	 * Reads the snapshots of one entry.
	 * @param file the file
	 * @return the increases of the counters between consecutive snapshots
	 * @throws BanyancoveException of kind {@link ErrorKind#SETTINGS_INVALID} if the file
	 * cannot be read; the message contains the invalid line
	 */
	List<Increase> read(Path file) {
		List<Increase> increases = new ArrayList<>();
		Map<Series, Double> previousValues = new HashMap<>();
		Instant at = Instant.MIN;
		boolean firstSnapshot = true;
		for (String line : readLines(file)) {
			Matcher time = TIME_LINE.matcher(line);
			Matcher counter = COUNTER_LINE.matcher(line);
			if (time.matches()) {
				firstSnapshot = at.equals(Instant.MIN);
				at = parseTime(file, line, time.group(1));
			}
			else if (counter.matches()) {
				Series series = parseSeries(file, line, counter.group(1));
				double value = Double.parseDouble(counter.group(2));
				double previous = previousValues.getOrDefault(series, 0.0);
				previousValues.put(series, value);
				// The time of requests counted before the first snapshot is unknown.
				if (!firstSnapshot && value != previous) {
					increases.add(new Increase(at, series, Math.round((value < previous) ? value : value - previous)));
				}
			}
		}
		return increases;
	}

	private static List<String> readLines(Path file) {
		try {
			return Files.readAllLines(file);
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.SETTINGS_INVALID, file + ": cannot be read: " + ex, ex);
		}
	}

	private static Instant parseTime(Path file, String line, String text) {
		try {
			return Instant.parse(text);
		}
		catch (DateTimeException ex) {
			throw new BanyancoveException(ErrorKind.SETTINGS_INVALID, file + ": invalid time: " + line, ex);
		}
	}

	private static Series parseSeries(Path file, String line, String labels) {
		Map<String, String> values = new HashMap<>();
		Matcher matcher = LABEL.matcher(labels);
		while (matcher.find()) {
			values.put(matcher.group(1), matcher.group(2));
		}
		String profile = values.get("profile");
		String account = values.get("account");
		String met = values.get("met");
		if (profile == null || account == null || met == null) {
			throw new BanyancoveException(ErrorKind.SETTINGS_INVALID,
					file + ": a label of profile, account or met is missing: " + line);
		}
		return new Series(new ProfileName(profile), new AccountName(account), Boolean.parseBoolean(met));
	}

	/**
	 * A time series of the counter.
	 *
	 * @param profile the profile
	 * @param account the account
	 * @param met whether it counts the requests that met the targets
	 */
	record Series(ProfileName profile, AccountName account, boolean met) {

	}

	/**
	 * The increase of a counter between two snapshots.
	 *
	 * @param at the time of the later snapshot
	 * @param series the time series
	 * @param requests the number of requests
	 */
	record Increase(Instant at, Series series, long requests) {

	}

}
