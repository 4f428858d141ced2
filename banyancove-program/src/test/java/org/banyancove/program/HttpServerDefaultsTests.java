package org.banyancove.program;

import java.net.InetAddress;
import java.net.InetSocketAddress;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpServerDefaultsTests {

	@Test
	void theServerAppliesTheProperties() throws Exception {
		HttpServerDefaults.apply();
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		try {
			assertThat(serverConfig("getMaxIdleConnections")).isEqualTo(HttpServerDefaults.MAXIMUM_IDLE_CONNECTIONS);
			assertThat(serverConfig("noDelay")).isEqualTo(true);
		}
		finally {
			server.stop(0);
		}
	}

	private static Object serverConfig(String method) throws ReflectiveOperationException {
		var getter = Class.forName("sun.net.httpserver.ServerConfig").getDeclaredMethod(method);
		getter.setAccessible(true);
		return getter.invoke(null);
	}

}
