package org.banyancove.entry;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import org.banyancove.program.CommandLineProgram;
import org.banyancove.program.ExitCode;
import org.banyancove.program.SocketAddressText;

/**
 * The entry daemon's program.
 */
public final class EntryProgram extends CommandLineProgram<EntryProgramSettings> {

	EntryProgram(PrintStream output, PrintStream errors) {
		super("banyancove-entry", EntryProgramSettings.class, output, errors);
	}

	/**
	 * Runs an entry until the process receives a termination signal.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		ExitCode exitCode = new EntryProgram(System.out, System.err).execute(arguments);
		System.exit(exitCode.code());
	}

	@Override
	protected ExitCode run(EntryProgramSettings settings, JCommander commander) throws Exception {
		EntryDaemon daemon = new EntryDaemon(settings, InstantSource.system(), new SecureRandom().nextLong());
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, stopped), "stop"));
		daemon.start();
		output().println("peers " + SocketAddressText.format(daemon.peerAddress()));
		output().println("listening " + SocketAddressText.format(daemon.address()));
		output().flush();
		stopped.await();
		return ExitCode.SUCCESS;
	}

	private static void stop(EntryDaemon daemon, CountDownLatch stopped) {
		try {
			daemon.stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			stopped.countDown();
		}
	}

}
