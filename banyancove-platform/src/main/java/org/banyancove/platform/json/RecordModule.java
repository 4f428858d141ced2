package org.banyancove.platform.json;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Base64;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.Deserializers;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.Serializers;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * Converts identifiers, times and bodies to and from text.
 */
final class RecordModule extends SimpleModule {

	private static final long serialVersionUID = 1L;

	RecordModule() {
		super("banyancove-records");
		addTextType(Duration.class, Duration::toString, Duration::parse);
		addTextType(Instant.class, Instant::toString, Instant::parse);
		addTextType(Incarnation.class, Incarnation::toString, Incarnation::parse);
		addTextType(Body.class, (body) -> encode(body.toByteArray()), (text) -> Body.copyOf(decode(text)));
	}

	@Override
	public void setupModule(SetupContext context) {
		super.setupModule(context);
		context.addSerializers(new IdentifierSerializers());
		context.addDeserializers(new IdentifierDeserializers());
	}

	private <T> void addTextType(Class<T> type, Function<T, String> writer, Function<String, T> reader) {
		addSerializer(type, new TextSerializer<>(type, writer));
		addDeserializer(type, new TextDeserializer<>(type, reader));
	}

	private static String encode(byte[] bytes) {
		return Base64.getEncoder().encodeToString(bytes);
	}

	private static byte[] decode(String text) {
		return Base64.getDecoder().decode(text);
	}

	// An identifier is a record with one String component that does not belong to a
	// sealed hierarchy, whose members are written with their kind in addition.
	private static boolean isIdentifier(Class<?> type) {
		if (!type.isRecord() || Arrays.stream(type.getInterfaces()).anyMatch(Class::isSealed)) {
			return false;
		}
		RecordComponent[] components = type.getRecordComponents();
		return components.length == 1 && components[0].getType() == String.class;
	}

	private static Object newIdentifier(Class<?> type, String text) {
		try {
			return type.getDeclaredConstructor(String.class).newInstance(text);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalArgumentException("Not a " + type.getSimpleName() + ": '" + text + "'", ex);
		}
	}

	private static String textOf(Object identifier) {
		try {
			return (String) identifier.getClass().getRecordComponents()[0].getAccessor().invoke(identifier);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalArgumentException("Cannot read " + identifier, ex);
		}
	}

	/**
	 * Provides the serializers of identifiers.
	 */
	private static final class IdentifierSerializers extends Serializers.Base {

		@Override
		public @Nullable JsonSerializer<?> findSerializer(SerializationConfig config, JavaType type,
				BeanDescription description) {
			Class<?> raw = type.getRawClass();
			return isIdentifier(raw) ? new TextSerializer<>(Object.class, RecordModule::textOf) : null;
		}

	}

	/**
	 * Provides the deserializers of identifiers.
	 */
	private static final class IdentifierDeserializers extends Deserializers.Base {

		@Override
		public @Nullable JsonDeserializer<?> findBeanDeserializer(JavaType type, DeserializationConfig config,
				BeanDescription description) {
			Class<?> raw = type.getRawClass();
			return isIdentifier(raw) ? new TextDeserializer<>(raw, (text) -> raw.cast(newIdentifier(raw, text))) : null;
		}

	}

	/**
	 * Writes a value as text.
	 */
	private static final class TextSerializer<T> extends StdSerializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<T, String> writer;

		TextSerializer(Class<T> type, Function<T, String> writer) {
			super(type);
			this.writer = writer;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(this.writer.apply(value));
		}

	}

	/**
	 * Reads a value from text.
	 */
	private static final class TextDeserializer<T> extends StdDeserializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<String, T> reader;

		TextDeserializer(Class<?> type, Function<String, T> reader) {
			super(type);
			this.reader = reader;
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return this.reader.apply(parser.getText());
		}

	}

}
