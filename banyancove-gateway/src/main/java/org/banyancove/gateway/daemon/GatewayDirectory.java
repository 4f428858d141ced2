package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.banyancove.gateway.resumption.OriginHolders;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gateways of the fleet, organized in groups.
 * <p>
 * In a small fleet each gateway is a group of its own, so that all gateways report to
 * each other directly. In a large fleet that would take most of the processor time of a
 * small VM; there, the gateways of a data centre form a group. Within a group, gateways
 * with a larger processor share rank higher.
 */
final class GatewayDirectory implements TopicFollower.Listener {

	private static final Logger log = LoggerFactory.getLogger(GatewayDirectory.class);

	/** Size of the largest fleet in which each gateway is a group of its own. */
	private static final int MAXIMUM_FULL_MESH_SIZE = 16;

	private static final Comparator<GatewayAddress> BY_RANK = Comparator.comparing(GatewayAddress::processorShare)
		.reversed()
		.thenComparing(GatewayAddress::name);

	private final GatewayAddress own;

	private final Map<String, GatewayAddress> gateways = new HashMap<>();

	private final Map<InetSocketAddress, String> namesByAddress = new HashMap<>();

	private boolean listed;

	private @Nullable Map<String, List<String>> groups;

	private @Nullable List<OriginHolders.Member> originHolders;

	/**
	 * Creates the directory.
	 * @param own this gateway, which is listed before its record is written
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

	@Override
	public void readThrough(long nextOffset) {
		this.listed = true;
	}

	/**
	 * Returns whether the gateways' topic has been read.
	 * @return whether all gateways that it lists are known
	 */
	boolean listed() {
		return this.listed;
	}

	private void put(GatewayAddress gateway) {
		GatewayAddress previous = this.gateways.put(gateway.name(), gateway);
		if (previous != null) {
			this.namesByAddress.remove(previous.address(), gateway.name());
		}
		this.namesByAddress.put(gateway.address(), gateway.name());
		this.groups = null;
		this.originHolders = null;
	}

	// A process reads all addresses at startup; sorting after each of them would take
	// time that grows with the square of the fleet.
	private Map<String, List<String>> membersByGroup() {
		Map<String, List<String>> cached = this.groups;
		if (cached == null) {
			cached = rankedGroups();
			this.groups = cached;
		}
		return cached;
	}

	private Map<String, List<String>> rankedGroups() {
		List<GatewayAddress> ranked = new ArrayList<>(this.gateways.values());
		ranked.sort(BY_RANK);
		Map<String, List<String>> byGroup = new TreeMap<>();
		for (GatewayAddress gateway : ranked) {
			byGroup.computeIfAbsent(groupOf(gateway), (group) -> new ArrayList<>()).add(gateway.name());
		}
		return byGroup;
	}

	/**
	 * Returns whether each gateway is a group of its own and reports to all others.
	 * @return whether the gateways form a full mesh
	 */
	boolean fullMesh() {
		return this.gateways.size() <= MAXIMUM_FULL_MESH_SIZE;
	}

	private String groupOf(GatewayAddress gateway) {
		return fullMesh() ? gateway.name() : gateway.dataCenter().value();
	}

	String ownGroup() {
		return groupOf(this.own);
	}

	Set<String> groups() {
		return membersByGroup().keySet();
	}

	/**
	 * Returns the members of a group, in descending order of rank.
	 * @param group the name of the group
	 * @return the names of the gateways
	 */
	List<String> members(String group) {
		return membersByGroup().getOrDefault(group, List.of());
	}

	Set<String> names() {
		return this.gateways.keySet();
	}

	Collection<GatewayAddress> addresses() {
		return this.gateways.values();
	}

	/**
	 * Returns the gateways that may remember the origins of streams.
	 * @return all gateways, including this one
	 */
	List<OriginHolders.Member> originHolders() {
		List<OriginHolders.Member> cached = this.originHolders;
		if (cached == null) {
			cached = this.gateways.values()
				.stream()
				.map((gateway) -> new OriginHolders.Member(gateway.name(), gateway.dataCenter()))
				.toList();
			this.originHolders = cached;
		}
		return cached;
	}

	int largestGroup() {
		return membersByGroup().values().stream().mapToInt(List::size).max().orElse(1);
	}

	@Nullable InetSocketAddress address(String name) {
		GatewayAddress gateway = this.gateways.get(name);
		return (gateway != null) ? gateway.address() : null;
	}

	@Nullable String nameOf(InetSocketAddress address) {
		return this.namesByAddress.get(address);
	}

}
