package org.banyancove.core.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The keys that this process is processing, with their waiting requests.
 */
final class PendingKeyTable {

	private final SlotTable slots;

	private final Map<CallKey, KeyWork> pendingKeys = new HashMap<>();

	private final Map<RequestId, KeyWork> requests = new HashMap<>();

	PendingKeyTable(SlotTable slots) {
		this.slots = slots;
	}

	KeyWork getOrCreate(CallKey key) {
		return this.pendingKeys.computeIfAbsent(key, (missing) -> new KeyWork(missing, this.slots.slot(missing)));
	}

	@Nullable KeyWork find(CallKey key) {
		return this.pendingKeys.get(key);
	}

	@Nullable KeyWork find(RequestId request) {
		return this.requests.get(request);
	}

	boolean contains(CallKey key) {
		return this.pendingKeys.containsKey(key);
	}

	List<KeyWork> all() {
		return List.copyOf(this.pendingKeys.values());
	}

	List<KeyWork> all(KeySlot slot) {
		return this.pendingKeys.values().stream().filter((pendingKey) -> pendingKey.slot().equals(slot)).toList();
	}

	boolean isWaiting(RequestId request) {
		return this.requests.containsKey(request);
	}

	int waitingCount() {
		return this.requests.size();
	}

	void add(KeyWork pendingKey, ClaimRequest request) {
		pendingKey.waiting().put(request.request(), request);
		this.requests.put(request.request(), pendingKey);
	}

	void removeRequest(RequestId request) {
		KeyWork pendingKey = this.requests.remove(request);
		if (pendingKey != null) {
			pendingKey.waiting().remove(request);
		}
	}

	void discardIfIdle(KeyWork pendingKey) {
		if (pendingKey.idle()) {
			this.pendingKeys.remove(pendingKey.key(), pendingKey);
		}
	}

}
