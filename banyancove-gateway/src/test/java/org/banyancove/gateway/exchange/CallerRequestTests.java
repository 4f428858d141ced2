package org.banyancove.gateway.exchange;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.AccountName;
import org.banyancove.core.suspect.Fingerprint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerRequestTests {

	// Guards against a quarantine that misses copies of a request or rejects other
	// requests.
	@Test
	void copiesOfARequestHaveTheSameFingerprintAndOtherRequestsAnother() {
		Fingerprint fingerprint = fingerprint("1", "/a", "body", "account");
		assertThat(fingerprint("2", "/a", "body", "account")).isEqualTo(fingerprint);
		assertThat(fingerprint("1", "/b", "body", "account")).isNotEqualTo(fingerprint);
		assertThat(fingerprint("1", "/a", "bodies", "account")).isNotEqualTo(fingerprint);
		assertThat(fingerprint("1", "/a", "body", "other").high()).isNotEqualTo(fingerprint.high());
	}

	private static Fingerprint fingerprint(String id, String uri, String body, String account) {
		DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri);
		head.headers().set("host", "host").set("id", id);
		return new CallerRequest(head, Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.US_ASCII)), 0)
			.fingerprint(new AccountName(account));
	}

}
