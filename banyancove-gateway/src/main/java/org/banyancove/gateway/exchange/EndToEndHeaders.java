package org.banyancove.gateway.exchange;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies the end-to-end headers of a message and omits the hop-by-hop ones.
 */
final class EndToEndHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length");

	private EndToEndHeaders() {
	}

	static void copy(HttpHeaders from, HttpHeaders to) {
		Set<String> connectionOptions = new HashSet<>();
		for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		for (Map.Entry<String, String> header : from) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

}
