package org.banyancove.gateway.endpoint;

import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.banyancove.core.EndpointId;

/**
 * Allocates the limits that endpoints declare for all gateways together, of rates and of
 * requests in flight, to individual gateways.
 * <p>
 * A limit of a few requests per second, divided among all gateways, would be exceeded as
 * soon as each of them sends one request. It is allocated to a few gateways, which all
 * gateways rank identically by rendezvous hashing, so that no coordination is needed. The
 * gateways differ by endpoint.
 */
public final class FleetAllocation {

	/** Minimum number of gateways that share a limit: one of them may be down. */
	private static final int MINIMUM_GATEWAYS = 2;

	private final String ownName;

	private final Supplier<? extends Collection<String>> gateways;

	private final BooleanSupplier complete;

	/**
	 * Creates the allocation to gateways that are all known.
	 * @param ownName this gateway's name
	 * @param gateways supplies the names of all gateways, this one's included
	 */
	public FleetAllocation(String ownName, Supplier<? extends Collection<String>> gateways) {
		this(ownName, gateways, () -> true);
	}

	/**
	 * Creates the allocation.
	 * @param ownName this gateway's name
	 * @param gateways supplies the names of the known gateways, this one's included
	 * @param complete returns whether all gateways are known
	 */
	public FleetAllocation(String ownName, Supplier<? extends Collection<String>> gateways, BooleanSupplier complete) {
		this.ownName = ownName;
		this.gateways = gateways;
		this.complete = complete;
	}

	/**
	 * Returns this gateway's share of a limit.
	 * @param endpoint the endpoint that declares the limit
	 * @param requestsPerSecond the limit
	 * @param rotation the rotation number, which determines the gateways that have a
	 * share
	 * @return the requests per second, 0 if this gateway has no share
	 */
	double share(EndpointId endpoint, double requestsPerSecond, long rotation) {
		Collection<String> names = this.gateways.get();
		int shareCount = (int) Math.min(names.size(), MINIMUM_GATEWAYS + Math.floor(requestsPerSecond));
		long key = endpoint.value().hashCode() + rotation;
		long ownWeight = RendezvousHash.weight(key, this.ownName);
		long higherRanked = names.stream().filter((name) -> RendezvousHash.weight(key, name) > ownWeight).count();
		return (higherRanked < shareCount) ? requestsPerSecond / shareCount : 0;
	}

	/**
	 * Returns this gateway's share of the places of an endpoint.
	 * @param endpoint the endpoint
	 * @param places the requests that all gateways together may have in flight there
	 * @return the requests that this gateway may have in flight, 0 if it has no share
	 */
	int places(EndpointId endpoint, int places) {
		Collection<String> names = this.gateways.get();
		long ownWeight = RendezvousHash.weight(endpoint.value().hashCode(), this.ownName);
		long higherRanked = names.stream()
			.filter((name) -> RendezvousHash.weight(endpoint.value().hashCode(), name) > ownWeight)
			.count();
		return places / names.size() + ((higherRanked < places % names.size()) ? 1 : 0);
	}

	/**
	 * Returns whether this gateway is the one of the fleet whose turn it is.
	 * @param key what the turn is for
	 * @param turn the number of the turn
	 * @return {@code false} if it is, or may be, the turn of another gateway
	 */
	public boolean isSelected(long key, long turn) {
		if (!this.complete.getAsBoolean()) {
			return false;
		}
		long turnKey = key + turn;
		long ownWeight = RendezvousHash.weight(turnKey, this.ownName);
		return this.gateways.get().stream().noneMatch((name) -> RendezvousHash.weight(turnKey, name) > ownWeight);
	}

	/**
	 * Returns whether this gateway is among those that are drawn for a while. Gateways
	 * draw independently, so that the number is met on average.
	 * @param endpoint the endpoint that the draw is for
	 * @param number the number of gateways to draw
	 * @param draw the number of the draw
	 * @return whether this gateway is drawn
	 */
	boolean drawn(EndpointId endpoint, double number, long draw) {
		long weight = RendezvousHash.weight(endpoint.value().hashCode() + draw, this.ownName);
		return (weight >>> 11) * 0x1.0p-53 < number / this.gateways.get().size();
	}

}
