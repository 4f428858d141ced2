package org.banyancove.program;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.deser.Deserializers;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.jspecify.annotations.Nullable;

/**
 * Jackson module for the scalar types of settings: durations with units, and identifiers.
 */
final class SettingsModule extends SimpleModule {

	private static final long serialVersionUID = 1L;

	SettingsModule() {
		super("banyancove-settings");
		addDeserializer(Duration.class, new DurationDeserializer());
	}

	@Override
	public void setupModule(SetupContext context) {
		super.setupModule(context);
		context.addDeserializers(new IdentifierDeserializers());
	}

	/**
	 * Returns whether a type is an identifier, which is a record with a single text
	 * component named {@code value}.
	 * @param type the type
	 * @return whether values of the type are written as plain text
	 */
	static boolean isIdentifier(Class<?> type) {
		if (!type.isRecord()) {
			return false;
		}
		RecordComponent[] components = type.getRecordComponents();
		return components.length == 1 && components[0].getType() == String.class
				&& "value".equals(components[0].getName());
	}

	private static String text(JsonParser parser, DeserializationContext context, Class<?> type) throws IOException {
		if (!parser.hasToken(JsonToken.VALUE_STRING)) {
			return (String) context.handleUnexpectedToken(type, parser);
		}
		return parser.getText();
	}

	private static final class IdentifierDeserializers extends Deserializers.Base {

		@Override
		public @Nullable JsonDeserializer<?> findBeanDeserializer(JavaType type, DeserializationConfig config,
				BeanDescription description) {
			return isIdentifier(type.getRawClass()) ? new IdentifierDeserializer(type.getRawClass()) : null;
		}

	}

	private static final class IdentifierDeserializer extends StdDeserializer<Object> {

		private static final long serialVersionUID = 1L;

		private final Class<?> type;

		IdentifierDeserializer(Class<?> type) {
			super(type);
			this.type = type;
		}

		@Override
		public Object deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			String text = text(parser, context, this.type);
			try {
				return this.type.getDeclaredConstructor(String.class).newInstance(text);
			}
			catch (InvocationTargetException ex) {
				return context.handleInstantiationProblem(this.type, text, ex.getCause());
			}
			catch (ReflectiveOperationException ex) {
				return context.handleInstantiationProblem(this.type, text, ex);
			}
		}

	}

	private static final class DurationDeserializer extends StdDeserializer<Duration> {

		private static final long serialVersionUID = 1L;

		DurationDeserializer() {
			super(Duration.class);
		}

		@Override
		public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			String text = text(parser, context, Duration.class);
			try {
				return DurationText.parse(text);
			}
			catch (IllegalArgumentException ex) {
				return (Duration) context.handleInstantiationProblem(Duration.class, text, ex);
			}
		}

	}

}
