package org.banyancove.core.ledger;

/**
 * The identifier of an append within a process.
 *
 * @param value a number that is unique within the process
 */
public record AppendId(long value) {

}
