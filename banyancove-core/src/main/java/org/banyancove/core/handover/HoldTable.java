package org.banyancove.core.handover;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.Incarnation;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The requests that this process owns or holds for other processes. Confined to the
 * entry's tick thread.
 */
public final class HoldTable {

	private final Map<RequestId, OwnedRequest> owned = new LinkedHashMap<>();

	private final Map<Incarnation, Set<RequestId>> ownedByHolder = new HashMap<>();

	private final Map<RequestId, HeldCopy> held = new LinkedHashMap<>();

	private final Map<Incarnation, Set<RequestId>> heldByOwner = new HashMap<>();

	private long heldCharacters;

	/**
	 * Returns the number of requests that this process owns.
	 * @return the number of requests
	 */
	public int ownedCount() {
		return this.owned.size();
	}

	/**
	 * Returns the number of requests that this process holds for others.
	 * @return the number of requests
	 */
	public int heldCount() {
		return this.held.size();
	}

	/**
	 * Returns the total size of the bodies and answers held for other processes.
	 * @return the size in characters
	 */
	public long heldCharacters() {
		return this.heldCharacters;
	}

	/**
	 * Returns whether this process owns a request.
	 * @param request the request
	 * @return {@code true} if it is owned
	 */
	public boolean owns(RequestId request) {
		return this.owned.containsKey(request);
	}

	/**
	 * Returns whether this process holds a request for another process.
	 * @param request the request
	 * @return {@code true} if it is held
	 */
	public boolean holds(RequestId request) {
		return this.held.containsKey(request);
	}

	@Nullable OwnedRequest owned(RequestId request) {
		return this.owned.get(request);
	}

	Collection<OwnedRequest> owned() {
		return List.copyOf(this.owned.values());
	}

	void own(OwnedRequest request) {
		RequestId id = request.held.request();
		Invariant.check(!this.owned.containsKey(id), "request %s is owned twice", id);
		release(id);
		this.owned.put(id, request);
	}

	void disown(OwnedRequest request) {
		setHolder(request, null);
		this.owned.remove(request.held.request());
	}

	void setHolder(OwnedRequest request, @Nullable Incarnation holder) {
		Incarnation former = request.holder;
		if (former != null) {
			remove(this.ownedByHolder, former, request.held.request());
		}
		request.holder = holder;
		if (holder != null) {
			this.ownedByHolder.computeIfAbsent(holder, (key) -> new LinkedHashSet<>()).add(request.held.request());
		}
	}

	List<RequestId> ownedWithHolder(Incarnation holder) {
		return List.copyOf(this.ownedByHolder.getOrDefault(holder, Set.of()));
	}

	@Nullable HeldCopy held(RequestId request) {
		return this.held.get(request);
	}

	Collection<HeldCopy> held() {
		return List.copyOf(this.held.values());
	}

	void hold(HeldCopy copy) {
		RequestId id = copy.held.request();
		Invariant.check(!this.owned.containsKey(id), "request %s is both owned and held", id);
		release(id);
		this.held.put(id, copy);
		this.heldByOwner.computeIfAbsent(copy.owner(), (key) -> new LinkedHashSet<>()).add(id);
		this.heldCharacters += copy.characters();
	}

	void update(HeldCopy copy, Runnable change) {
		this.heldCharacters -= copy.characters();
		change.run();
		this.heldCharacters += copy.characters();
	}

	void changeOwner(HeldCopy copy, Incarnation owner, long ownership) {
		remove(this.heldByOwner, copy.owner(), copy.held.request());
		copy.changeOwner(owner, ownership);
		this.heldByOwner.computeIfAbsent(owner, (key) -> new LinkedHashSet<>()).add(copy.held.request());
	}

	void release(RequestId request) {
		HeldCopy copy = this.held.remove(request);
		if (copy != null) {
			this.heldCharacters -= copy.characters();
			remove(this.heldByOwner, copy.owner(), request);
		}
	}

	List<RequestId> heldFor(Incarnation owner) {
		return List.copyOf(this.heldByOwner.getOrDefault(owner, Set.of()));
	}

	private static void remove(Map<Incarnation, Set<RequestId>> index, Incarnation key, RequestId request) {
		Set<RequestId> requests = index.get(key);
		if (requests != null) {
			requests.remove(request);
			if (requests.isEmpty()) {
				index.remove(key);
			}
		}
	}

}
