package org.banyancove.standins;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

import org.banyancove.program.ExitCode;

/**
 * A command of the program, whose fields hold the parsed options.
 */
sealed interface StandinCommand permits PlatformCommand, EngineCommand, ServiceCommand, LoadCommand {

	/**
	 * Runs the command.
	 * @param output where addresses and reports are printed
	 * @return the exit code
	 * @throws Exception if the command fails
	 */
	ExitCode run(PrintStream output) throws Exception;

	/**
	 * Prints the address of a started server and blocks until the process is terminated.
	 * @param server the server
	 * @param address the server's address
	 * @param output where the address is printed
	 * @return the exit code
	 * @throws InterruptedException if the thread is interrupted
	 */
	static ExitCode serve(AutoCloseable server, InetSocketAddress address, PrintStream output)
			throws InterruptedException {
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			try {
				server.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException("Failed to close the server", ex);
			}
		}));
		output.println("listening " + format(address));
		output.flush();
		stopped.await();
		return ExitCode.SUCCESS;
	}

	/**
	 * Formats an address for clients.
	 * @param address the address
	 * @return the IP address and port
	 */
	static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
