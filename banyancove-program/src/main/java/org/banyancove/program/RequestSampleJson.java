package org.banyancove.program;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.burn.RequestSample;
import org.jspecify.annotations.Nullable;

/**
 * Converts a recorded request to and from a JSON line, which entries write and the burn
 * rate report reads. Thread-safe.
 */
public final class RequestSampleJson {

	private final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.build();

	/**
	 * Writes a request.
	 * @param sample the request
	 * @return one line, without a line terminator
	 */
	public String write(RequestSample sample) {
		try {
			return this.mapper.writeValueAsString(Line.of(sample));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Cannot write " + sample, ex);
		}
	}

	/**
	 * Reads a request.
	 * @param line the JSON line
	 * @return the request
	 * @throws IllegalArgumentException if the line is not a recorded request
	 */
	public RequestSample read(String line) {
		try {
			return this.mapper.readValue(line, Line.class).sample();
		}
		catch (JsonProcessingException | RuntimeException ex) {
			throw new IllegalArgumentException("not a recorded request: " + line, ex);
		}
	}

	@JsonPropertyOrder({ "at", "requestId", "account", "service", "profile", "firstTokenMillis", "totalMillis", "met",
			"errorCode" })
	private record Line(String at, String requestId, String account, String service, String profile,
			@Nullable Long firstTokenMillis, long totalMillis, boolean met, @Nullable String errorCode) {

		static Line of(RequestSample sample) {
			return new Line(sample.at().toString(), sample.requestId().value(), sample.account().value(),
					sample.service().value(), sample.profile().value(), sample.firstTokenMillis(), sample.totalMillis(),
					sample.met(), sample.errorCode());
		}

		RequestSample sample() {
			return new RequestSample(Instant.parse(this.at), new RequestId(this.requestId),
					new AccountName(this.account), new ServiceName(this.service), new ProfileName(this.profile),
					this.firstTokenMillis, this.totalMillis, this.met, this.errorCode);
		}

	}

}
