package org.banyancove.standins.support;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.program.HttpServerDefaults;

/**
 * HTTP server of a stand-in, with the control endpoints for tests:
 * {@code /standin/faults} and {@code /standin/runs}.
 * <p>
 * The switch {@code silenceOpenConnections}, which every stand-in has, stops responses on
 * all connections that have carried a request so far. New connections work.
 *
 * @param <F> the enum of the faults that can be injected
 */
public final class StandinServer<F extends Enum<F>> implements AutoCloseable {

	private static final String SILENCE_SWITCH = "silenceOpenConnections";

	private final FaultSwitches<F> faults;

	private final RunCounter runs;

	private final BooleanSupplier silent;

	private final Handler handler;

	private final HttpServer server;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final Set<InetSocketAddress> usedConnections = ConcurrentHashMap.newKeySet();

	private final Set<InetSocketAddress> silencedConnections = ConcurrentHashMap.newKeySet();

	/**
	 * Creates and binds the server, which serves requests after {@link #start()}.
	 * @param address the loopback address, with port zero for an ephemeral port
	 * @param faults the stand-in's fault switches
	 * @param runs the stand-in's run counts
	 * @param silent whether the server currently does not respond
	 * @param handler handles all requests except those to the control endpoints
	 * @throws BanyancoveException if the address is in use
	 */
	public StandinServer(InetSocketAddress address, FaultSwitches<F> faults, RunCounter runs, BooleanSupplier silent,
			Handler handler) {
		HttpServerDefaults.apply();
		this.faults = faults;
		this.runs = runs;
		this.silent = silent;
		this.handler = handler;
		try {
			this.server = HttpServer.create(address, 0);
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.ADDRESS_IN_USE, "Cannot listen on " + address, ex);
		}
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::serve);
	}

	/**
	 * Starts to serve requests.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * Returns the bound address.
	 * @return the address, including the port
	 */
	public InetSocketAddress address() {
		return this.server.getAddress();
	}

	/**
	 * Runs a background task, which is interrupted when the server is closed.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		this.executor.execute(task);
	}

	/**
	 * Stops responding on all connections that have carried a request so far.
	 */
	public void silenceOpenConnections() {
		this.silencedConnections.addAll(this.usedConnections);
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	private void serve(HttpExchange httpExchange) throws IOException {
		InetSocketAddress remote = httpExchange.getRemoteAddress();
		this.usedConnections.add(remote);
		// A hanging exchange occupies its connection until the server stops. A later
		// request from the same remote port uses a new connection, which must work.
		Exchange exchange = new Exchange(httpExchange,
				() -> this.silent.getAsBoolean() || this.silencedConnections.remove(remote));
		try {
			switch (exchange.route()) {
				case "GET /standin/faults" -> exchange.send(200, this.faults.toJson().put(SILENCE_SWITCH, false));
				case "POST /standin/faults" -> updateFaults(exchange, remote);
				case "GET /standin/runs" -> exchange.send(200, Map.of("runs", this.runs.runs()));
				default -> {
					// A request on a silenced connection is not run, as if it had never
					// arrived. One that arrived earlier runs but loses its response.
					exchange.hangIfSilenced();
					this.handler.handle(exchange);
				}
			}
		}
		catch (IllegalArgumentException | JsonProcessingException ex) {
			exchange.sendError(400, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ConnectionDropException("The stand-in is stopping");
		}
	}

	private void updateFaults(Exchange exchange, InetSocketAddress remote) throws IOException {
		JsonNode switches = exchange.json();
		if (!(switches instanceof ObjectNode object)) {
			exchange.sendError(400, "Fault switches are one JSON object");
			return;
		}
		JsonNode silence = object.remove(List.of(SILENCE_SWITCH)).path(SILENCE_SWITCH);
		this.faults.update(object);
		if (silence.asBoolean()) {
			silenceOpenConnections();
			this.silencedConnections.remove(remote);
		}
		exchange.send(200, this.faults.toJson());
	}

	/**
	 * Handles the requests to a stand-in.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Handles a request, or throws {@link ConnectionDropException} to close the
		 * connection without a complete response.
		 * @param exchange the request and its response
		 * @throws IOException if the client has disconnected or the connection must be
		 * dropped
		 * @throws InterruptedException if the stand-in is stopped
		 */
		void handle(Exchange exchange) throws IOException, InterruptedException;

	}

}
