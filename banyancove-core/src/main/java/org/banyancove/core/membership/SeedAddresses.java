package org.banyancove.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The addresses of possible peers, and the selection of those to contact.
 */
final class SeedAddresses {

	private static final int SEEDS_PER_ROUND = 2;

	private static final int MAXIMUM_SEEDS = 64;

	private final PeerTable table;

	private final RandomGenerator random;

	private final Set<String> addresses = new LinkedHashSet<>();

	SeedAddresses(PeerTable table, RandomGenerator random) {
		this.table = table;
		this.random = random;
	}

	void replace(List<PeerSeed> seeds, String ownAddress) {
		this.addresses.clear();
		for (PeerSeed seed : seeds) {
			if (this.addresses.size() < MAXIMUM_SEEDS && !seed.address().equals(ownAddress)) {
				this.addresses.add(seed.address());
			}
		}
	}

	boolean isEmpty() {
		return this.addresses.isEmpty();
	}

	// Selects a few seeds without a living peer in the table. Contacting them lets a new
	// process join, and merges groups that had declared each other dead.
	List<String> choose() {
		if (this.addresses.isEmpty()) {
			return List.of();
		}
		Set<String> known = new HashSet<>();
		this.table.living().forEach((peer) -> known.add(peer.address()));
		List<String> unknown = this.addresses.stream().filter((address) -> !known.contains(address)).toList();
		List<String> chosen = new ArrayList<>();
		for (int index = 0; index < Math.min(SEEDS_PER_ROUND, unknown.size()); index++) {
			chosen.add(unknown.get(this.random.nextInt(unknown.size())));
		}
		return chosen;
	}

}
