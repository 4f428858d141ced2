package org.banyancove.gateway.resumption;

import java.time.Duration;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StreamOriginTableTests {

	private static final StreamOrigin ORIGIN = new StreamOrigin(new ServiceName("engines"), "v1", new EndpointId("a"));

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final StreamOriginTable table = new StreamOriginTable();

	@Test
	void originIsKnownWithItsAgeUntilItExpires() {
		StreamKey stream = new StreamKey(1, 1);
		this.table.put(stream, ORIGIN, Duration.ofSeconds(2), 10 * SECOND);
		assertThat(this.table.find(stream, 15 * SECOND))
			.isEqualTo(new KnownOrigin(ORIGIN, KnownOrigin.Source.RECORD, Duration.ofSeconds(7)));
		assertThat(this.table.find(new StreamKey(2, 1), 15 * SECOND)).isNull();
		assertThat(this.table.find(stream, 69 * SECOND)).isNull();
		this.table.expire(69 * SECOND);
		assertThat(this.table.size()).isZero();
	}

	// Guards against memory that grows with the number of streams.
	@Test
	void oldestOriginsAreForgottenBeyondTheMaximum() {
		for (int i = 0; i < 20_000; i++) {
			this.table.put(new StreamKey(1, i), ORIGIN, Duration.ZERO, i);
		}
		assertThat(this.table.size()).isEqualTo(16_384);
		assertThat(this.table.find(new StreamKey(1, 0), 20_000)).isNull();
		assertThat(this.table.find(new StreamKey(1, 19_999), 20_000)).isNotNull();
	}

}
