package org.banyancove.program;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Documents a key of a settings file, on the record component that receives its value.
 * <p>
 * {@link SettingsReader} uses the documented default for an absent key, so that the
 * documentation cannot differ from the program's behaviour.
 */
@Documented
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface SettingsKey {

	/**
	 * Returns the description of the key, in one sentence without a full stop.
	 * @return the description
	 */
	String meaning();

	/**
	 * Returns the unit of the value, or an empty string if it has none.
	 * @return the unit
	 */
	String unit() default "";

	/**
	 * Returns the default value of an absent key: text, durations and names without
	 * quotes, any other value as TOML. Empty if the key has no default.
	 * @return the default value
	 */
	String defaultValue() default "";

	/**
	 * Returns whether the key may be absent without a default; the component is then
	 * {@code null}.
	 * @return whether the key may be omitted
	 */
	boolean optional() default false;

}
