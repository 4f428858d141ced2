package org.banyancove.core.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * An indexed set of endpoints with insertion and removal in constant time.
 */
final class EndpointGroup {

	static final int SERVICE = 0;

	static final int POOL = 1;

	/** Number of group kinds. An endpoint is in at most one group of each kind. */
	static final int KINDS = 2;

	private final int kind;

	private final List<Endpoint> members = new ArrayList<>();

	EndpointGroup(int kind) {
		this.kind = kind;
	}

	void add(Endpoint endpoint) {
		endpoint.position(this.kind, this.members.size());
		this.members.add(endpoint);
	}

	void remove(Endpoint endpoint) {
		Endpoint last = this.members.removeLast();
		if (last != endpoint) {
			int position = endpoint.position(this.kind);
			this.members.set(position, last);
			last.position(this.kind, position);
		}
	}

	int size() {
		return this.members.size();
	}

	boolean isEmpty() {
		return this.members.isEmpty();
	}

	Endpoint get(int index) {
		return this.members.get(index);
	}

}
