package org.banyancove.standins;

import java.time.Duration;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.banyancove.program.DurationText;

/**
 * Converts a duration with a unit.
 */
public final class DurationConverter implements IStringConverter<Duration> {

	@Override
	public Duration convert(String text) {
		try {
			return DurationText.parse(text);
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException(ex.getMessage(), ex);
		}
	}

}
