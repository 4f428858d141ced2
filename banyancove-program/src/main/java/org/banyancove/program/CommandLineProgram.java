package org.banyancove.program;

import java.io.PrintStream;
import java.net.BindException;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;

/**
 * Base class of all programs, which handles options, settings, exit codes and errors.
 * <p>
 * An error that terminates the program is printed as one line on standard error,
 * {@code error: code: message}, with the code of its {@link ErrorKind}.
 *
 * @param <S> the settings' type
 */
public abstract class CommandLineProgram<S extends Record> {

	private final String name;

	private final Class<S> settingsType;

	private final PrintStream output;

	private final PrintStream errors;

	/**
	 * Creates a program.
	 * @param name the program's name on the command line
	 * @param settingsType the record that receives the settings
	 * @param output the stream for results
	 * @param errors the stream for the error line
	 */
	protected CommandLineProgram(String name, Class<S> settingsType, PrintStream output, PrintStream errors) {
		this.name = name;
		this.settingsType = settingsType;
		this.output = output;
		this.errors = errors;
	}

	/**
	 * Adds the program's own options and commands. Does nothing by default.
	 * @param commander the command line
	 */
	protected void configure(JCommander commander) {
	}

	/**
	 * Runs the program with validated settings, on the calling thread.
	 * @param settings the settings
	 * @param commander the parsed command line
	 * @return the exit code
	 * @throws Exception if the program fails; {@link BanyancoveException} and
	 * {@link BindException} determine the exit code
	 */
	protected abstract ExitCode run(S settings, JCommander commander) throws Exception;

	/**
	 * Returns the stream for the program's results.
	 * @return the stream
	 */
	protected PrintStream output() {
		return this.output;
	}

	/**
	 * Runs the program. The caller exits the process with the returned code.
	 * @param arguments the command line
	 * @return the exit code
	 */
	public final ExitCode execute(String... arguments) {
		HttpServerDefaults.apply();
		StandardOptions options = new StandardOptions();
		JCommander commander = JCommander.newBuilder().programName(this.name).addObject(options).build();
		configure(commander);
		try {
			commander.parse(arguments);
			return execute(options, commander);
		}
		catch (ParameterException ex) {
			return fail(ErrorKind.SETTINGS_INVALID, ex.getMessage() + "; see " + this.name + " --help");
		}
		catch (BanyancoveException ex) {
			return fail(ex.kind(), String.valueOf(ex.getMessage()));
		}
		catch (BindException ex) {
			return fail(ErrorKind.ADDRESS_IN_USE, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return fail(ErrorKind.INTERNAL, "interrupted");
		}
		catch (Exception ex) {
			return fail(ErrorKind.INTERNAL, ex.toString());
		}
	}

	private ExitCode execute(StandardOptions options, JCommander commander) throws Exception {
		if (options.help) {
			StringBuilder usage = new StringBuilder();
			commander.getUsageFormatter().usage(usage);
			this.output.println(usage);
			return ExitCode.SUCCESS;
		}
		if (options.version) {
			this.output.println(this.name + " " + ProgramVersion.read());
			return ExitCode.SUCCESS;
		}
		SettingsReader reader = new SettingsReader();
		if (options.printSettings) {
			reader.describe(this.settingsType).forEach(this.output::println);
			return ExitCode.SUCCESS;
		}
		S settings = (options.settings != null) ? reader.read(options.settings, this.settingsType)
				: reader.defaults(this.settingsType);
		if (options.checkSettings) {
			this.output.println("settings are valid");
			return ExitCode.SUCCESS;
		}
		return run(settings, commander);
	}

	private ExitCode fail(ErrorKind kind, String message) {
		this.errors.println("error: " + kind.code() + ": " + message.replace('\n', ' '));
		return ExitCode.of(kind);
	}

}
