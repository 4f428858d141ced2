package org.banyancove.core.ledger;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The ended keys of a slot in packed form: a queue of rows in the order in which their
 * answers expired, and a hash index with linear probing from a key's digest to its row.
 */
final class EndedKeyTable {

	private static final int KEYS_PER_SEGMENT = 1024;

	private static final int MINIMUM_INDEX_LENGTH = 64;

	private static final int EMPTY = 0;

	private static final long SHRINK_FACTOR = 4;

	private static final int REBASE_THRESHOLD = 1 << 30;

	private final List<ByteBuffer> segments = new ArrayList<>();

	// Row numbers increase and include removed rows. An index cell holds a row number
	// plus one.
	private int[] index = new int[MINIMUM_INDEX_LENGTH];

	private int removedSegments;

	private int firstRow;

	private int endRow;

	private int indexedRows;

	// Adds a key. If the queue still contains an expired row of the same key, the index
	// refers to the new row.
	void add(EndedKey key) {
		if (this.endRow == (this.removedSegments + this.segments.size()) * KEYS_PER_SEGMENT) {
			this.segments.add(ByteBuffer.allocate(KEYS_PER_SEGMENT * EndedKeys.KEY_BYTES));
		}
		EndedKeys.put(segment(this.endRow), this.endRow % KEYS_PER_SEGMENT, key);
		this.endRow++;
		if ((this.indexedRows + 1) * 4L > this.index.length * 3L) {
			resize(this.index.length * 2);
		}
		int cell = cellOf(key.key());
		this.indexedRows += (this.index[cell] == EMPTY) ? 1 : 0;
		this.index[cell] = this.endRow;
	}

	@Nullable EndedKey find(KeyDigest key) {
		int row = this.index[cellOf(key)] - 1;
		return (row < 0) ? null : row(row);
	}

	// Only the oldest rows are checked. An expired row that has not been removed yet
	// still reports that it is expired.
	void removeExpired(Instant logTime) {
		while (this.firstRow < this.endRow && row(this.firstRow).expired(logTime)) {
			removeFirst();
		}
	}

	void clear() {
		this.segments.clear();
		this.index = new int[MINIMUM_INDEX_LENGTH];
		this.removedSegments = 0;
		this.firstRow = 0;
		this.endRow = 0;
		this.indexedRows = 0;
	}

	// Returns the unexpired rows, in parts of at most the given number of keys.
	List<EndedKeys> live(Instant logTime, int partKeys) {
		List<EndedKeys> parts = new ArrayList<>();
		List<EndedKey> part = new ArrayList<>();
		for (int row = this.firstRow; row < this.endRow; row++) {
			EndedKey key = row(row);
			if (!key.expired(logTime)) {
				part.add(key);
			}
			if (part.size() == partKeys) {
				parts.add(EndedKeys.of(part));
				part.clear();
			}
		}
		if (!part.isEmpty()) {
			parts.add(EndedKeys.of(part));
		}
		return parts;
	}

	int size() {
		return this.endRow - this.firstRow;
	}

	private void removeFirst() {
		int cell = cellOf(EndedKeys.keyAt(segment(this.firstRow), this.firstRow % KEYS_PER_SEGMENT));
		if (this.index[cell] == this.firstRow + 1) {
			clearCell(cell);
			this.indexedRows--;
		}
		this.firstRow++;
		if (this.firstRow % KEYS_PER_SEGMENT == 0) {
			removeFirstSegment();
		}
	}

	private void removeFirstSegment() {
		this.segments.removeFirst();
		this.removedSegments++;
		if (this.endRow > REBASE_THRESHOLD) {
			this.firstRow -= this.removedSegments * KEYS_PER_SEGMENT;
			this.endRow -= this.removedSegments * KEYS_PER_SEGMENT;
			this.removedSegments = 0;
			resize(this.index.length);
		}
		else if (this.index.length > MINIMUM_INDEX_LENGTH && this.indexedRows * SHRINK_FACTOR < this.index.length) {
			resize(this.index.length / 2);
		}
	}

	// Closes the gap, so that a search that ends at an empty cell does not miss a
	// subsequent row.
	private void clearCell(int clearedCell) {
		int mask = this.index.length - 1;
		int gap = clearedCell;
		int cell = (gap + 1) & mask;
		while (this.index[cell] != EMPTY) {
			int homeCell = homeCell(keyOf(this.index[cell] - 1));
			if (((cell - homeCell) & mask) >= ((cell - gap) & mask)) {
				this.index[gap] = this.index[cell];
				gap = cell;
			}
			cell = (cell + 1) & mask;
		}
		this.index[gap] = EMPTY;
	}

	private void resize(int length) {
		this.index = new int[length];
		this.indexedRows = 0;
		for (int row = this.firstRow; row < this.endRow; row++) {
			int cell = cellOf(keyOf(row));
			this.indexedRows += (this.index[cell] == EMPTY) ? 1 : 0;
			this.index[cell] = row + 1;
		}
	}

	private int cellOf(KeyDigest key) {
		int mask = this.index.length - 1;
		int cell = homeCell(key);
		while (this.index[cell] != EMPTY && !keyOf(this.index[cell] - 1).equals(key)) {
			cell = (cell + 1) & mask;
		}
		return cell;
	}

	private int homeCell(KeyDigest key) {
		return (int) key.low() & (this.index.length - 1);
	}

	private KeyDigest keyOf(int row) {
		return EndedKeys.keyAt(segment(row), row % KEYS_PER_SEGMENT);
	}

	private EndedKey row(int row) {
		return EndedKeys.get(segment(row), row % KEYS_PER_SEGMENT);
	}

	private ByteBuffer segment(int row) {
		return this.segments.get(row / KEYS_PER_SEGMENT - this.removedSegments);
	}

}
