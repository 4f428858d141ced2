package org.banyancove.standins;

import java.util.List;

import com.beust.jcommander.converters.IParameterSplitter;

/**
 * Returns an option's value unsplit, for repeatable options whose values contain commas.
 */
public final class WholeValueSplitter implements IParameterSplitter {

	@Override
	public List<String> split(String value) {
		return List.of(value);
	}

}
