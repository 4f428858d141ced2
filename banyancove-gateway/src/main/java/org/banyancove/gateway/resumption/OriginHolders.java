package org.banyancove.gateway.resumption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.endpoint.RendezvousHash;
import org.jspecify.annotations.Nullable;

/**
 * Selects the gateways that remember the origin of a stream, and those to ask for it.
 * <p>
 * All gateways rank the members of each data centre identically by rendezvous hashing.
 * Two holders are in the data centre of the gateway that began the stream, so that its
 * callers find one while the data centre is partitioned, and one is elsewhere, so that
 * the origin outlives the data centre.
 */
public final class OriginHolders {

	private static final int HOLDERS_IN_OWN_DATA_CENTER = 2;

	/**
	 * Gateways to ask in each data centre: a gateway is not a holder of streams that it
	 * began itself, so that the next in rank takes its place.
	 */
	private static final int CANDIDATES_PER_DATA_CENTER = HOLDERS_IN_OWN_DATA_CENTER + 1;

	private final Member own;

	/**
	 * Creates the selection.
	 * @param own this gateway
	 */
	public OriginHolders(Member own) {
		this.own = own;
	}

	/**
	 * Returns the gateways that this gateway replicates a stream's origin to.
	 * @param stream the stream
	 * @param members the gateways of the fleet
	 * @return their names, without this gateway's
	 */
	public List<String> holders(StreamKey stream, Collection<Member> members) {
		List<String> holders = new ArrayList<>();
		Ranked elsewhere = null;
		for (Map.Entry<DataCenterName, List<Ranked>> group : ranked(stream, members).entrySet()) {
			if (group.getKey().equals(this.own.dataCenter())) {
				group.getValue().stream().limit(HOLDERS_IN_OWN_DATA_CENTER).forEach((each) -> holders.add(each.name()));
			}
			else {
				elsewhere = higher(elsewhere, group.getValue().getFirst());
			}
		}
		if (elsewhere != null) {
			holders.add(elsewhere.name());
		}
		return holders;
	}

	private static Ranked higher(@Nullable Ranked left, Ranked right) {
		return (left != null && left.weight() > right.weight()) ? left : right;
	}

	/**
	 * Returns the gateways that may have a stream's origin, whichever gateway began it.
	 * @param stream the stream
	 * @param members the gateways of the fleet
	 * @return their names, without this gateway's
	 */
	public List<String> candidates(StreamKey stream, Collection<Member> members) {
		return ranked(stream, members).values()
			.stream()
			.flatMap((group) -> group.stream().limit(CANDIDATES_PER_DATA_CENTER))
			.map(Ranked::name)
			.toList();
	}

	private Map<DataCenterName, List<Ranked>> ranked(StreamKey stream, Collection<Member> members) {
		Map<DataCenterName, List<Ranked>> groups = new HashMap<>();
		for (Member member : members) {
			if (!member.name().equals(this.own.name())) {
				groups.computeIfAbsent(member.dataCenter(), (name) -> new ArrayList<>())
					.add(new Ranked(member.name(), RendezvousHash.weight(stream.hash(), member.name())));
			}
		}
		groups.values().forEach((group) -> group.sort(Comparator.comparingLong(Ranked::weight).reversed()));
		return groups;
	}

	/**
	 * A gateway of the fleet.
	 *
	 * @param name its name
	 * @param dataCenter its data centre
	 */
	public record Member(String name, DataCenterName dataCenter) {
	}

	private record Ranked(String name, long weight) {
	}

}
