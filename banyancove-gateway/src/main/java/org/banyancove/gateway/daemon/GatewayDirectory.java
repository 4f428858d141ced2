package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gateways of the fleet, in groups.
 * <p>
 * In a small fleet each gateway is a group of its own, so that all report to each other
 * at once. In a large one that would take most of a small VM's processor time, and the
 * gateways of a data centre form a group. Within a group, those with the larger processor
 * share rank higher.
 */
final class GatewayDirectory implements TopicFollower.Listener {

	private static final Logger log = LoggerFactory.getLogger(GatewayDirectory.class);

	/** The largest fleet in which each gateway is a group of its own. */
	private static final int MAXIMUM_SMALL_FLEET = 16;

	private static final Comparator<GatewayAddress> RANK = Comparator.comparing(GatewayAddress::processorShare)
		.reversed()
		.thenComparing(GatewayAddress::name);

	private final GatewayAddress own;

	private final Map<String, GatewayAddress> gateways = new HashMap<>();

	private final Map<InetSocketAddress, String> names = new HashMap<>();

	private @Nullable Map<String, List<String>> groups;

	/**
	 * Creates the directory.
	 * @param own this gateway, which is known before its record was written
	 */
	GatewayDirectory(GatewayAddress own) {
		this.own = own;
		put(own);
	}

	@Override
	public void changed(TopicRecord entry) {
		byte[] value = entry.value();
		String text = (value != null) ? new String(value, StandardCharsets.UTF_8) : "";
		try {
			put(GatewayAddress.parse(entry.key(), text));
		}
		catch (IllegalArgumentException ex) {
			log.atWarn()
				.addKeyValue("gateway", entry.key())
				.addKeyValue("cause", ex.toString())
				.log("address unreadable");
		}
	}

	private void put(GatewayAddress gateway) {
		GatewayAddress before = this.gateways.put(gateway.name(), gateway);
		if (before != null) {
			this.names.remove(before.address(), gateway.name());
		}
		this.names.put(gateway.address(), gateway.name());
		this.groups = null;
	}

	// A process reads all addresses at its start; sorting after each one would take time
	// that grows with the square of the fleet.
	private Map<String, List<String>> membersByGroup() {
		Map<String, List<String>> known = this.groups;
		if (known == null) {
			known = group();
			this.groups = known;
		}
		return known;
	}

	private Map<String, List<String>> group() {
		List<GatewayAddress> ranked = new ArrayList<>(this.gateways.values());
		ranked.sort(RANK);
		Map<String, List<String>> members = new TreeMap<>();
		for (GatewayAddress gateway : ranked) {
			members.computeIfAbsent(groupOf(gateway), (group) -> new ArrayList<>()).add(gateway.name());
		}
		return members;
	}

	/**
	 * Returns whether each gateway is a group of its own, and reports to all others.
	 * @return whether it is
	 */
	boolean direct() {
		return this.gateways.size() <= MAXIMUM_SMALL_FLEET;
	}

	private String groupOf(GatewayAddress gateway) {
		return direct() ? gateway.name() : gateway.dataCenter().value();
	}

	String ownGroup() {
		return groupOf(this.own);
	}

	Set<String> groups() {
		return membersByGroup().keySet();
	}

	/**
	 * Returns the members of a group, the highest rank first.
	 * @param group the group's name
	 * @return the names of gateways
	 */
	List<String> members(String group) {
		return membersByGroup().getOrDefault(group, List.of());
	}

	Set<String> names() {
		return this.gateways.keySet();
	}

	int largestGroup() {
		return membersByGroup().values().stream().mapToInt(List::size).max().orElse(1);
	}

	@Nullable InetSocketAddress address(String name) {
		GatewayAddress gateway = this.gateways.get(name);
		return (gateway != null) ? gateway.address() : null;
	}

	@Nullable String nameAt(InetSocketAddress address) {
		return this.names.get(address);
	}

}
