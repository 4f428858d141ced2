package org.banyancove.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/**
 * Entry point of the program that measures the core's decisions.
 */
public final class ExperimentProgram {

	private static final String RUN = "run";

	private static final String SLOPES = "slopes";

	private static final int USAGE_ERROR = 2;

	private ExperimentProgram() {
	}

	/**
	 * Runs the program.
	 * @param arguments the command line: {@code run} or {@code slopes} with their
	 * options; without a command, {@code run}
	 */
	public static void main(String[] arguments) {
		RunCommand run = new RunCommand();
		SlopesCommand slopes = new SlopesCommand();
		JCommander commander = JCommander.newBuilder()
			.programName("banyancove-experiment")
			.addCommand(RUN, run)
			.addCommand(SLOPES, slopes)
			.build();
		try {
			commander.parse(withCommand(arguments));
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			commander.usage();
			System.exit(USAGE_ERROR);
		}
		if (SLOPES.equals(commander.getParsedCommand())) {
			slopes.run(System.out);
		}
		else {
			run.run(System.out);
		}
	}

	private static String[] withCommand(String[] arguments) {
		if (arguments.length > 0 && !arguments[0].startsWith("-")) {
			return arguments;
		}
		String[] extended = new String[arguments.length + 1];
		extended[0] = RUN;
		System.arraycopy(arguments, 0, extended, 1, arguments.length);
		return extended;
	}

}
