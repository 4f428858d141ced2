package org.banyancove.program;

/**
 * Configures the JDK's HTTP server for many concurrent callers.
 * <p>
 * By default, the server keeps at most 200 idle connections and closes the others. This
 * may coincide with a caller's next request, which then fails with a connection reset.
 * The server also enables Nagle's algorithm by default, which delays the small chunks of
 * a streamed answer. Both settings are system properties that the server reads once, so
 * that they must be set before the first server is created.
 */
public final class HttpServerDefaults {

	/** Maximum number of idle connections that a server keeps. */
	public static final int MAXIMUM_IDLE_CONNECTIONS = 10_000;

	private HttpServerDefaults() {
	}

	/**
	 * Sets the system properties. {@link CommandLineProgram} calls this method first; a
	 * test that creates a server without it must call this method before.
	 */
	public static void apply() {
		System.setProperty("sun.net.httpserver.maxIdleConnections", String.valueOf(MAXIMUM_IDLE_CONNECTIONS));
		System.setProperty("sun.net.httpserver.nodelay", "true");
	}

}
