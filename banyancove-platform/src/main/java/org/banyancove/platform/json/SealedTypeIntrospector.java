package org.banyancove.platform.json;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;
import com.fasterxml.jackson.databind.jsontype.impl.StdTypeResolverBuilder;
import org.jspecify.annotations.Nullable;

/**
 * Distinguishes the types of a sealed hierarchy by a property {@code kind}, so that the
 * core's types need no annotations.
 */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {

	private static final long serialVersionUID = 1L;

	private static final String KIND_PROPERTY = "kind";

	@Override
	public @Nullable TypeResolverBuilder<?> findTypeResolver(MapperConfig<?> config, AnnotatedClass annotated,
			JavaType baseType) {
		if (!isSealed(annotated.getRawType())) {
			return super.findTypeResolver(config, annotated, baseType);
		}
		return new StdTypeResolverBuilder().init(JsonTypeInfo.Id.NAME, null)
			.inclusion(JsonTypeInfo.As.PROPERTY)
			.typeProperty(KIND_PROPERTY);
	}

	@Override
	public @Nullable List<NamedType> findSubtypes(Annotated annotated) {
		Class<?> type = annotated.getRawType();
		if (!isSealed(type)) {
			return super.findSubtypes(annotated);
		}
		List<NamedType> subtypes = new ArrayList<>();
		collectSubtypes(type, subtypes);
		return subtypes;
	}

	private static void collectSubtypes(Class<?> type, List<NamedType> subtypes) {
		for (Class<?> permitted : type.getPermittedSubclasses()) {
			if (permitted.isSealed()) {
				collectSubtypes(permitted, subtypes);
			}
			else {
				subtypes.add(new NamedType(permitted, permitted.getSimpleName()));
			}
		}
	}

	private static boolean isSealed(Class<?> type) {
		return type.isInterface() && type.isSealed();
	}

}
