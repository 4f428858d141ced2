package org.banyancove.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Reads TOML settings into records and validates them.
 * <p>
 * Keys are the components' names in kebab case. An unknown key, a missing key, a value of
 * the wrong type and a value that a compact constructor rejects each result in a
 * {@link BanyancoveException} of kind {@link ErrorKind#SETTINGS_INVALID}, whose message
 * names the file, key and value. Instances are immutable and thread-safe.
 */
public final class SettingsReader {

	private final TomlMapper toml = new TomlMapper();

	private final ObjectMapper mapper = TomlMapper.builder()
		.addModule(new SettingsModule())
		.propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
		.enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
		.withCoercionConfig(LogicalType.Textual, (config) -> {
			config.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail);
			config.setCoercion(CoercionInputShape.Float, CoercionAction.Fail);
			config.setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
		})
		.build();

	/**
	 * Reads a settings file.
	 * @param <T> the settings' type
	 * @param file the TOML file
	 * @param recordType the record that receives the settings
	 * @return the settings
	 * @throws BanyancoveException of kind {@link ErrorKind#SETTINGS_INVALID} if the file
	 * cannot be read or a key or value is invalid
	 */
	public <T extends Record> T read(Path file, Class<T> recordType) {
		return convert(file.toString(), parse(file), recordType);
	}

	/**
	 * Returns the settings of an empty file.
	 * @param <T> the settings' type
	 * @param recordType the record that receives the settings
	 * @return the settings
	 * @throws BanyancoveException of kind {@link ErrorKind#SETTINGS_INVALID} if a key has
	 * no default
	 */
	public <T extends Record> T defaults(Class<T> recordType) {
		return convert("no --settings given", this.toml.createObjectNode(), recordType);
	}

	/**
	 * Lists all keys with type, unit, default and description, one line each.
	 * @param recordType the settings record
	 * @return the lines
	 */
	public List<String> describe(Class<? extends Record> recordType) {
		return SettingsSchema.describe(recordType);
	}

	private ObjectNode parse(Path file) {
		if (!Files.isReadable(file)) {
			throw invalid(file + ": the settings file does not exist or cannot be read", null);
		}
		try {
			return (ObjectNode) this.toml.readTree(file.toFile());
		}
		catch (JsonProcessingException ex) {
			throw invalid(file + ": line " + ex.getLocation().getLineNr() + ": " + firstLine(ex.getOriginalMessage()),
					ex);
		}
		catch (IOException ex) {
			throw invalid(file + ": " + ex.getMessage(), ex);
		}
	}

	private <T extends Record> T convert(String source, ObjectNode tree, Class<T> recordType) {
		complete(source, "", tree, recordType);
		try {
			return this.mapper.treeToValue(tree, recordType);
		}
		catch (JsonMappingException ex) {
			throw invalid(source + ": " + errorMessage(tree, ex), ex);
		}
		catch (JsonProcessingException ex) {
			throw invalid(source + ": " + firstLine(ex.getOriginalMessage()), ex);
		}
	}

	private void complete(String source, String prefix, ObjectNode table, Class<?> recordType) {
		List<SettingsSchema.Key> keys = SettingsSchema.keys(recordType);
		rejectUnknownKeys(source, prefix, table, keys);
		for (SettingsSchema.Key key : keys) {
			complete(source, prefix, table, key);
		}
	}

	private void rejectUnknownKeys(String source, String prefix, ObjectNode table, List<SettingsSchema.Key> keys) {
		Set<String> known = new TreeSet<>();
		keys.forEach((key) -> known.add(key.name()));
		Set<String> unknown = new HashSet<>();
		table.fieldNames().forEachRemaining(unknown::add);
		unknown.removeAll(known);
		for (String name : new TreeSet<>(unknown)) {
			throw invalid(source + ": unknown key '" + prefix + name + "' with value " + table.get(name)
					+ "; known here: " + String.join(", ", known), null);
		}
	}

	private void complete(String source, String prefix, ObjectNode table, SettingsSchema.Key key) {
		String path = prefix + key.name();
		JsonNode value = table.get(key.name());
		if (value == null) {
			value = absentValue(source, path, key);
			if (value == null) {
				return;
			}
			table.set(key.name(), value);
		}
		Class<?> tableType = key.tableType();
		if (tableType != null) {
			completeTables(source, path, value, key, tableType);
		}
	}

	private void completeTables(String source, String path, JsonNode value, SettingsSchema.Key key,
			Class<?> tableType) {
		if (key.isList() && value instanceof ArrayNode array) {
			for (int i = 0; i < array.size(); i++) {
				completeTable(source, path + "[" + i + "]", array.get(i), tableType);
			}
		}
		else if (key.isMap() && value instanceof ObjectNode tables) {
			tables.properties()
				.forEach((entry) -> completeTable(source, path + "." + entry.getKey(), entry.getValue(), tableType));
		}
		else {
			completeTable(source, path, value, tableType);
		}
	}

	private void completeTable(String source, String path, JsonNode value, Class<?> tableType) {
		if (!(value instanceof ObjectNode table)) {
			throw invalid(source + ": key '" + path + "' must be a table, is " + value, null);
		}
		complete(source, path + ".", table, tableType);
	}

	private @Nullable JsonNode absentValue(String source, String path, SettingsSchema.Key key) {
		SettingsKey documentation = key.documentation();
		if (documentation != null && !documentation.defaultValue().isEmpty()) {
			return defaultNode(key, documentation.defaultValue());
		}
		if (documentation != null && documentation.optional()) {
			return null;
		}
		if (key.type().isRecord() && key.tableType() != null) {
			return this.toml.createObjectNode();
		}
		String meaning = (documentation != null) ? " (" + documentation.meaning() + ")" : "";
		throw invalid(source + ": key '" + path + "' is missing and has no default" + meaning, null);
	}

	private JsonNode defaultNode(SettingsSchema.Key key, String defaultValue) {
		if (!key.isLiteral()) {
			return TextNode.valueOf(defaultValue);
		}
		try {
			return this.toml.readTree("value = " + defaultValue).get("value");
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the default of " + key.component() + " is not TOML: " + defaultValue, ex);
		}
	}

	private static String errorMessage(JsonNode tree, JsonMappingException exception) {
		StringBuilder path = new StringBuilder();
		JsonNode value = tree;
		for (JsonMappingException.Reference step : exception.getPath()) {
			if (step.getFieldName() != null) {
				path.append((path.length() > 0) ? "." : "").append(step.getFieldName());
				value = value.path(step.getFieldName());
			}
			else {
				path.append('[').append(step.getIndex()).append(']');
				value = value.path(step.getIndex());
			}
		}
		String description = (path.length() > 0) ? "key '" + path + "' has the wrong value " + value + ": " : "";
		return description + causeMessage(exception);
	}

	private static String causeMessage(JsonMappingException exception) {
		Throwable cause = exception.getCause();
		if (exception instanceof ValueInstantiationException && cause != null && cause.getMessage() != null) {
			return cause.getMessage();
		}
		return firstLine(exception.getOriginalMessage());
	}

	private static String firstLine(String message) {
		return message.lines().findFirst().orElse("");
	}

	private static BanyancoveException invalid(String message, @Nullable Throwable cause) {
		return new BanyancoveException(ErrorKind.SETTINGS_INVALID, message, cause);
	}

}
