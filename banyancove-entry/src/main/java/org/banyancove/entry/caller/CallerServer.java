package org.banyancove.entry.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.entry.AnswerPart;
import org.banyancove.core.entry.Call;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.entry.EventSink;
import org.banyancove.program.StatusPages;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;

/**
 * The HTTP server for callers. Each request is served on a virtual thread of its own,
 * which reads the request, posts it to the tick loop and writes the parts of the answer.
 */
public final class CallerServer implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(CallerServer.class);

	private static final String SERVICES_PATH = "/services/";

	private static final String REQUESTS_PATH = "/v1/requests/";

	private static final String REQUEST_ID_MDC_KEY = "requestId";

	/**
	 * The time for which running exchanges may complete after a stop. The core completes
	 * an answer before its last bytes are sent, and does not yet track a request whose
	 * body is still being read; an immediate close would break both connections. The wait
	 * ends as soon as no exchange is running.
	 */
	private static final int STOP_GRACE_SECONDS = 2;

	private final HttpServer server;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final ObjectMapper mapper = new ObjectMapper();

	private final AnswerJson json = new AnswerJson(this.mapper);

	private final CallerServerSettings settings;

	private final CallerConnections connections;

	private final EventSink events;

	private final Supplier<RequestId> requestIds;

	/**
	 * Creates the server and binds its address; it serves requests after
	 * {@link #start()}.
	 * @param settings the address and limits
	 * @param connections the connections of waiting callers
	 * @param events the tick loop
	 * @param requestIds generates globally unique request identifiers
	 * @param status serves the status pages of operators
	 * @throws BanyancoveException with {@link ErrorKind#ADDRESS_IN_USE} if the address
	 * cannot be bound
	 */
	public CallerServer(CallerServerSettings settings, CallerConnections connections, EventSink events,
			Supplier<RequestId> requestIds, StatusPages status) {
		this.settings = settings;
		this.connections = connections;
		this.events = events;
		this.requestIds = requestIds;
		this.server = bind(settings.address());
		this.server.setExecutor(this.executor);
		this.server.createContext("/v1/chat/completions", (exchange) -> handle(exchange, this::chat));
		this.server.createContext(REQUESTS_PATH, (exchange) -> handle(exchange, this::reconnect));
		this.server.createContext(SERVICES_PATH, (exchange) -> handle(exchange, this::plainCall));
		this.server.createContext("/", status);
	}

	/**
	 * Starts to serve requests.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * Returns the bound address.
	 * @return the address, with the assigned port if the settings have port 0
	 */
	public InetSocketAddress address() {
		return this.server.getAddress();
	}

	@Override
	public void close() {
		this.server.stop(STOP_GRACE_SECONDS);
		this.executor.shutdownNow();
	}

	private void handle(HttpExchange exchange, CallerHandler handler) {
		RequestId request = this.requestIds.get();
		AnswerWriter writer = new AnswerWriter(exchange, request, this.json);
		MDC.put(REQUEST_ID_MDC_KEY, request.value());
		try (exchange) {
			answer(exchange, request, writer, handler);
		}
		catch (IOException ex) {
			logger.debug("Caller connection failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			MDC.remove(REQUEST_ID_MDC_KEY);
		}
	}

	private void answer(HttpExchange exchange, RequestId request, AnswerWriter writer, CallerHandler handler)
			throws IOException, InterruptedException {
		try {
			AccountName account = this.settings.accounts()
				.authenticate(exchange.getRequestHeaders().getFirst("Authorization"));
			handler.handle(exchange, request, account, writer);
		}
		catch (BanyancoveException ex) {
			writer.writeFailure(new AnswerPart.Failure(ex.kind(), message(ex), null));
		}
		catch (IllegalArgumentException ex) {
			writer.writeFailure(new AnswerPart.Failure(ErrorKind.MALFORMED_REQUEST, message(ex), null));
		}
	}

	private void chat(HttpExchange exchange, RequestId request, AccountName account, AnswerWriter writer)
			throws IOException, InterruptedException {
		requireMethod(exchange, "POST");
		byte[] body = readBody(exchange);
		ChatRequest chat = ChatRequest.read(this.mapper, body);
		Call call = new Call(request, account, chat.service(), "POST", exchange.getRequestURI().getPath(),
				"application/json", Body.copyOf(body), idempotencyKey(exchange), chat.prompt());
		postAndWriteAnswer(request, (connection) -> new EntryEvent.CallArrived(connection.id(), call), writer,
				chat.stream());
	}

	private void plainCall(HttpExchange exchange, RequestId request, AccountName account, AnswerWriter writer)
			throws IOException, InterruptedException {
		String remainder = pathWithQuery(exchange.getRequestURI()).substring(SERVICES_PATH.length());
		int end = remainder.indexOf('/');
		String service = (end < 0) ? remainder : remainder.substring(0, end);
		String path = (end < 0) ? "/" : remainder.substring(end);
		String contentType = exchange.getRequestHeaders().getFirst("Content-Type");
		Call call = new Call(request, account, new ServiceName(service), exchange.getRequestMethod(), path,
				(contentType != null) ? contentType : "application/octet-stream", Body.copyOf(readBody(exchange)),
				idempotencyKey(exchange), null);
		postAndWriteAnswer(request, (connection) -> new EntryEvent.CallArrived(connection.id(), call), writer, false);
	}

	private void reconnect(HttpExchange exchange, RequestId request, AccountName account, AnswerWriter writer)
			throws IOException, InterruptedException {
		requireMethod(exchange, "GET");
		RequestId original = new RequestId(exchange.getRequestURI().getPath().substring(REQUESTS_PATH.length()));
		String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-ID");
		long fromOffset = (lastEventId != null) ? Long.parseLong(lastEventId) : 0;
		AnswerWriter originalWriter = new AnswerWriter(exchange, original, this.json);
		boolean stream = acceptsEvents(exchange);
		postAndWriteAnswer(original,
				(connection) -> new EntryEvent.CallerReturned(connection.id(), original, account, fromOffset),
				originalWriter, stream);
	}

	private void postAndWriteAnswer(RequestId request, EventFactory arrival, AnswerWriter writer, boolean stream)
			throws IOException, InterruptedException {
		CallerConnection connection = this.connections.open();
		try {
			this.events.post(arrival.create(connection));
			if (stream) {
				writer.writeEvents(connection);
			}
			else {
				writer.writeComplete(connection);
			}
		}
		finally {
			this.connections.close(connection);
			this.events.post(new EntryEvent.CallerLeft(connection.id(), request));
		}
	}

	private byte[] readBody(HttpExchange exchange) throws IOException {
		int limit = this.settings.maximumBodyBytes();
		byte[] body = exchange.getRequestBody().readNBytes(limit + 1);
		if (body.length > limit) {
			throw new BanyancoveException(ErrorKind.BODY_TOO_LARGE, "the body has more than " + limit + " bytes");
		}
		return body;
	}

	private static HttpServer bind(InetSocketAddress address) {
		try {
			return HttpServer.create(address, 0);
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.ADDRESS_IN_USE, "cannot listen on " + address, ex);
		}
	}

	private static void requireMethod(HttpExchange exchange, String method) {
		if (!exchange.getRequestMethod().equals(method)) {
			throw new BanyancoveException(ErrorKind.MALFORMED_REQUEST,
					"method must be " + method + ": " + exchange.getRequestMethod());
		}
	}

	private static @Nullable String idempotencyKey(HttpExchange exchange) {
		return exchange.getRequestHeaders().getFirst(CallerHeaders.IDEMPOTENCY_KEY);
	}

	private static boolean acceptsEvents(HttpExchange exchange) {
		String accept = exchange.getRequestHeaders().getFirst("Accept");
		return accept != null && accept.contains("text/event-stream");
	}

	private static String pathWithQuery(URI uri) {
		return (uri.getRawQuery() != null) ? uri.getRawPath() + "?" + uri.getRawQuery() : uri.getRawPath();
	}

	private static String message(RuntimeException exception) {
		String message = exception.getMessage();
		return (message != null) ? message : exception.getClass().getSimpleName();
	}

	/**
	 * Handles one kind of request.
	 */
	@FunctionalInterface
	private interface CallerHandler {

		void handle(HttpExchange exchange, RequestId request, AccountName account, AnswerWriter writer)
				throws IOException, InterruptedException;

	}

	/**
	 * Creates the first event of a connection.
	 */
	@FunctionalInterface
	private interface EventFactory {

		EntryEvent create(CallerConnection connection);

	}

}
