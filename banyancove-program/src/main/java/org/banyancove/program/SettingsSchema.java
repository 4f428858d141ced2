package org.banyancove.program;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.PropertyNamingStrategies.KebabCaseStrategy;
import org.jspecify.annotations.Nullable;

/**
 * Derives the keys of a settings file from its record type.
 */
final class SettingsSchema {

	private static final KebabCaseStrategy NAMING = new KebabCaseStrategy();

	private SettingsSchema() {
	}

	static List<Key> keys(Class<?> recordType) {
		List<Key> keys = new ArrayList<>();
		for (RecordComponent component : recordType.getRecordComponents()) {
			keys.add(new Key(NAMING.translate(component.getName()), component));
		}
		return keys;
	}

	/**
	 * Lists all keys of a settings record including those of tables, one line each.
	 * @param recordType the settings record
	 * @return the lines
	 */
	static List<String> describe(Class<?> recordType) {
		List<String> lines = new ArrayList<>();
		describe("", recordType, lines);
		return lines;
	}

	private static void describe(String prefix, Class<?> recordType, List<String> lines) {
		for (Key key : keys(recordType)) {
			String path = prefix + key.name();
			Class<?> table = key.tableType();
			if (table == null) {
				lines.add(line(path, key));
			}
			else {
				describe(path + key.tablePathSuffix(), table, lines);
			}
		}
	}

	private static String line(String path, Key key) {
		SettingsKey documentation = key.documentation();
		StringBuilder line = new StringBuilder(path).append("  (").append(key.typeName());
		if (documentation == null) {
			return line.append(", required)").toString();
		}
		if (!documentation.unit().isEmpty()) {
			line.append(", ").append(documentation.unit());
		}
		line.append(", ").append(defaultOrPresence(documentation)).append(")  ");
		return line.append(documentation.meaning()).toString();
	}

	private static String defaultOrPresence(SettingsKey documentation) {
		if (!documentation.defaultValue().isEmpty()) {
			return "default " + documentation.defaultValue();
		}
		return documentation.optional() ? "optional" : "required";
	}

	/**
	 * A key of a settings file.
	 *
	 * @param name the key's name in the file
	 * @param component the record component that receives the value
	 */
	record Key(String name, RecordComponent component) {

		@Nullable SettingsKey documentation() {
			return this.component.getAnnotation(SettingsKey.class);
		}

		Class<?> type() {
			return this.component.getType();
		}

		boolean isList() {
			return Iterable.class.isAssignableFrom(type());
		}

		boolean isMap() {
			return Map.class.isAssignableFrom(type());
		}

		/**
		 * Returns whether the default value is written as TOML instead of plain text.
		 * @return whether the default value is TOML
		 */
		boolean isLiteral() {
			return isList() || isMap() || (type().isPrimitive() && type() != char.class);
		}

		/**
		 * Returns the record type of a table, an array of tables or a map of tables.
		 * @return the record's type, or {@code null} for other values
		 */
		@Nullable Class<?> tableType() {
			Class<?> element = elementType();
			return (element.isRecord() && !SettingsModule.isIdentifier(element)) ? element : null;
		}

		String tablePathSuffix() {
			if (isList()) {
				return "[].";
			}
			return isMap() ? ".<name>." : ".";
		}

		String typeName() {
			String name = scalarName(elementType());
			if (isList()) {
				return "list of " + name;
			}
			return isMap() ? "table of " + name : name;
		}

		private Class<?> elementType() {
			if (!isList() && !isMap()) {
				return type();
			}
			Type[] arguments = ((ParameterizedType) this.component.getGenericType()).getActualTypeArguments();
			Type last = arguments[arguments.length - 1];
			return (last instanceof Class<?> element) ? element : Object.class;
		}

		private static String scalarName(Class<?> type) {
			if (type == Duration.class) {
				return "duration";
			}
			if (type.isEnum()) {
				List<String> names = new ArrayList<>();
				for (Object constant : type.getEnumConstants()) {
					names.add(constant.toString().toLowerCase(Locale.ROOT));
				}
				return String.join("|", names);
			}
			if (Number.class.isAssignableFrom(type)) {
				return type.getSimpleName().toLowerCase(Locale.ROOT);
			}
			return type.isPrimitive() ? type.getName() : "text";
		}

	}

}
