package org.banyancove.standins.support;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/**
 * Base class of the stand-ins: an HTTP server with fault switches and run counts. It can
 * be embedded in a test's process or run in a process of its own.
 *
 * @param <F> the enum of the faults that can be injected
 */
public abstract class AbstractStandin<F extends Enum<F>> implements AutoCloseable {

	private final FaultSwitches<F> faults;

	private final RunCounter runs = new RunCounter();

	private final StandinServer<F> server;

	/**
	 * Creates the stand-in and binds its address.
	 * @param address the loopback address, with port zero for an ephemeral port
	 * @param faultType the enum of the faults that can be injected
	 */
	protected AbstractStandin(InetSocketAddress address, Class<F> faultType) {
		this.faults = new FaultSwitches<>(faultType);
		this.server = createServer(address, () -> false);
	}

	/**
	 * Starts to serve requests.
	 * @return this stand-in
	 */
	public AbstractStandin<F> start() {
		this.server.start();
		return this;
	}

	/**
	 * Returns the bound address.
	 * @return the address, including the port
	 */
	public final InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the fault switches.
	 * @return the switches
	 */
	public final FaultSwitches<F> faults() {
		return this.faults;
	}

	/**
	 * Returns the run counts.
	 * @return the counts
	 */
	public final RunCounter runs() {
		return this.runs;
	}

	/**
	 * Stops responding on all connections that have carried a request so far.
	 */
	public final void silenceOpenConnections() {
		this.server.silenceOpenConnections();
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * Handles one request.
	 * @param exchange the request and its response
	 * @throws IOException if the client has disconnected or the connection must be
	 * dropped
	 * @throws InterruptedException if the stand-in is stopped
	 */
	protected abstract void serve(Exchange exchange) throws IOException, InterruptedException;

	/**
	 * Runs a background task, which is interrupted when the stand-in is closed.
	 * @param task the task
	 */
	protected final void execute(Runnable task) {
		this.server.execute(task);
	}

	/**
	 * Creates a server that shares this stand-in's handler, faults and counts.
	 * @param address the loopback address, with port zero for an ephemeral port
	 * @param silent whether the server currently does not respond
	 * @return the server, not yet started
	 */
	protected final StandinServer<F> createServer(InetSocketAddress address, BooleanSupplier silent) {
		return new StandinServer<>(address, this.faults, this.runs, silent, this::serve);
	}

}
