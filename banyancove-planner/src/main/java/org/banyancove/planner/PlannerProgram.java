package org.banyancove.planner;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import org.banyancove.program.CommandLineProgram;
import org.banyancove.program.ExitCode;
import org.banyancove.program.SocketAddressText;

/**
 * Entry point of the planner daemon.
 */
public final class PlannerProgram extends CommandLineProgram<PlannerProgramSettings> {

	PlannerProgram(PrintStream output, PrintStream errors) {
		super("banyancove-planner", PlannerProgramSettings.class, output, errors);
	}

	/**
	 * Runs a planner until the process is terminated.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		ExitCode exitCode = new PlannerProgram(System.out, System.err).execute(arguments);
		System.exit(exitCode.code());
	}

	@Override
	protected ExitCode run(PlannerProgramSettings settings, JCommander commander) throws Exception {
		PlannerDaemon daemon = new PlannerDaemon(settings, InstantSource.system(), new SecureRandom().nextLong());
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			daemon.stop();
			stopped.countDown();
		}, "stop"));
		daemon.start();
		output().println("listening " + SocketAddressText.format(daemon.address()));
		output().flush();
		stopped.await();
		return ExitCode.SUCCESS;
	}

}
