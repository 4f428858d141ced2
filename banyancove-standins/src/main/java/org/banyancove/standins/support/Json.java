package org.banyancove.standins.support;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON mappers of the stand-ins. They ignore unknown properties and omit null ones.
 */
public final class Json {

	/**
	 * Mapper that keeps property names unchanged.
	 */
	public static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, null))
		.build();

	/**
	 * Mapper with property names in snake case, as the chat API requires.
	 */
	public static final ObjectMapper CHAT_MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, null))
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	private Json() {
	}

	/**
	 * Writes a value as JSON of the chat API.
	 * @param value the value
	 * @return the JSON, on one line
	 */
	public static String writeChat(Object value) {
		try {
			return CHAT_MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Not to be written as JSON: " + value, ex);
		}
	}

}
