package org.banyancove.platform.json;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Converts the records of a sealed hierarchy to and from JSON text. Thread-safe.
 *
 * @param <T> the root of the hierarchy
 */
public final class RecordMapper<T> {

	private final ObjectReader reader;

	private final ObjectWriter writer;

	/**
	 * Creates the mapper.
	 * @param type the root of the hierarchy
	 */
	public RecordMapper(Class<T> type) {
		ObjectMapper mapper = JsonMapper.builder()
			.annotationIntrospector(new SealedTypeIntrospector())
			.addModule(new RecordModule())
			.visibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
			.visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
			.visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
			.serializationInclusion(JsonInclude.Include.NON_NULL)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.build();
		this.reader = mapper.readerFor(type);
		this.writer = mapper.writerFor(type);
	}

	/**
	 * Writes a record.
	 * @param record the record
	 * @return the JSON text, in one line
	 */
	public String write(T record) {
		try {
			return this.writer.writeValueAsString(record);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Cannot write record as JSON: " + record, ex);
		}
	}

	/**
	 * Reads a record.
	 * @param text the JSON text
	 * @return the record
	 * @throws UnreadableRecordException if the text is not a record of a known kind
	 */
	public T read(String text) {
		try {
			return this.reader.readValue(text);
		}
		catch (JsonProcessingException ex) {
			throw new UnreadableRecordException("Text is not a record of a known kind", ex);
		}
	}

}
