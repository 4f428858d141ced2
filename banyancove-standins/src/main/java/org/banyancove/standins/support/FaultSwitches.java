package org.banyancove.standins.support;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;

/**
 * Fault injection switches of a stand-in, one for each constant of an enum.
 * <p>
 * The JSON name of a switch is the constant's name in camel case. A counted switch is set
 * to the number of times that the fault occurs, or to {@code true} for every time. This
 * class is thread-safe.
 *
 * @param <F> the enum of the faults that can be injected
 */
public final class FaultSwitches<F extends Enum<F>> {

	private final F[] faults;

	private final Map<F, JsonNode> values;

	/**
	 * Creates the switches, all disabled.
	 * @param type the enum of the faults that can be injected
	 */
	public FaultSwitches(Class<F> type) {
		this.faults = type.getEnumConstants();
		this.values = new EnumMap<>(type);
	}

	/**
	 * Sets a switch to a number: a count, milliseconds or an HTTP status.
	 * @param fault the switch
	 * @param value the number; zero disables the switch
	 */
	public void set(F fault, long value) {
		set(fault, LongNode.valueOf(value));
	}

	/**
	 * Enables a switch without a limit, or disables it.
	 * @param fault the switch
	 * @param value whether the switch is enabled
	 */
	public void set(F fault, boolean value) {
		set(fault, BooleanNode.valueOf(value));
	}

	/**
	 * Sets a switch to a text.
	 * @param fault the switch
	 * @param value the text; empty disables the switch
	 */
	public void set(F fault, String value) {
		set(fault, TextNode.valueOf(value));
	}

	/**
	 * Returns whether a fault occurs now, and decrements the count of a counted switch.
	 * @param fault the switch
	 * @return whether the fault occurs
	 */
	public synchronized boolean tryTrigger(F fault) {
		JsonNode value = value(fault);
		if (value.isIntegralNumber() && value.longValue() > 0) {
			this.values.put(fault, LongNode.valueOf(value.longValue() - 1));
			return true;
		}
		return value.asBoolean();
	}

	/**
	 * Returns a switch's number.
	 * @param fault the switch
	 * @return the number, zero if the switch is disabled
	 */
	public synchronized long number(F fault) {
		return value(fault).asLong();
	}

	/**
	 * Returns a switch's text.
	 * @param fault the switch
	 * @return the text, empty if the switch is disabled
	 */
	public synchronized String text(F fault) {
		// A disabled switch holds a number or false. As text, its "0" would trigger the
		// fault for every prompt that contains the word 0.
		JsonNode value = value(fault);
		return value.isTextual() ? value.asText() : "";
	}

	/**
	 * Applies switches from a JSON object. Switches that it does not name are unchanged.
	 * @param switches the JSON object
	 * @throws IllegalArgumentException if it names an unknown switch; no switch is
	 * changed
	 */
	public synchronized void update(JsonNode switches) {
		Map<F, JsonNode> changed = new EnumMap<>(this.values);
		switches.properties().forEach((entry) -> changed.put(findByJsonName(entry.getKey()), entry.getValue()));
		this.values.putAll(changed);
	}

	/**
	 * Returns all switches as a JSON object.
	 * @return the object
	 */
	public synchronized ObjectNode toJson() {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		for (F fault : this.faults) {
			json.set(jsonName(fault), value(fault));
		}
		return json;
	}

	private synchronized void set(F fault, JsonNode value) {
		this.values.put(fault, value);
	}

	private JsonNode value(F fault) {
		return this.values.getOrDefault(fault, LongNode.valueOf(0));
	}

	private F findByJsonName(String jsonName) {
		return Arrays.stream(this.faults)
			.filter((fault) -> jsonName(fault).equals(jsonName))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("Unknown fault switch '" + jsonName + "'"));
	}

	private String jsonName(F fault) {
		StringBuilder name = new StringBuilder();
		for (String word : fault.name().toLowerCase(Locale.ROOT).split("_")) {
			name.append(name.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
		}
		return name.toString();
	}

}
