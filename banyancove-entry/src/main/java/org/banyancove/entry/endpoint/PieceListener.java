package org.banyancove.entry.endpoint;

/**
 * Receives the pieces of an engine's token stream.
 */
@FunctionalInterface
interface PieceListener {

	void onPiece(long fromOffset, long toOffset, String text);

}
