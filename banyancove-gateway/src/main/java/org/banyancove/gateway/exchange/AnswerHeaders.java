package org.banyancove.gateway.exchange;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies headers from one connection to the next, without those that concern one only.
 */
final class AnswerHeaders {

	private static final Set<String> ONE_CONNECTION = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length");

	private AnswerHeaders() {
	}

	static void copy(HttpHeaders from, HttpHeaders to) {
		Set<String> named = new HashSet<>();
		for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				named.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		for (Map.Entry<String, String> header : from) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!ONE_CONNECTION.contains(name) && !named.contains(name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

}
