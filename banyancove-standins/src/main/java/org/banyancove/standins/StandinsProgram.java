package org.banyancove.standins;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyancove.program.CommandLineProgram;
import org.banyancove.program.ExitCode;

/**
 * Command line program with a command for each stand-in and one for the load generator.
 */
public final class StandinsProgram extends CommandLineProgram<StandinsProgram.NoSettings> {

	private final Map<String, StandinCommand> commands = new LinkedHashMap<>();

	/**
	 * Creates the program.
	 * @param output where addresses and reports are printed
	 * @param errors where the reason for a failure is printed, in one line
	 */
	public StandinsProgram(PrintStream output, PrintStream errors) {
		super("banyancove-standins", NoSettings.class, output, errors);
		this.commands.put("platform", new PlatformCommand());
		this.commands.put("engine", new EngineCommand());
		this.commands.put("service", new ServiceCommand());
		this.commands.put("load", new LoadCommand());
	}

	/**
	 * Runs the program and exits with its exit code.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new StandinsProgram(System.out, System.err).execute(arguments).code());
	}

	@Override
	protected void configure(JCommander commander) {
		this.commands.forEach(commander::addCommand);
	}

	@Override
	protected ExitCode run(NoSettings settings, JCommander commander) throws Exception {
		StandinCommand command = this.commands.get(commander.getParsedCommand());
		if (command == null) {
			throw new ParameterException("one of the commands " + this.commands.keySet() + " is needed");
		}
		return command.run(output());
	}

	/**
	 * Empty settings, because the stand-ins are configured on the command line only.
	 */
	public record NoSettings() {
	}

}
