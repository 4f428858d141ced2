package org.banyancove.entry.caller;

import java.net.InetSocketAddress;

/**
 * The settings of the HTTP server for callers.
 *
 * @param address the address to listen on
 * @param maximumBodyBytes the maximum size of a request body in bytes; a profile may set
 * a lower limit
 * @param accounts the accounts of callers
 */
public record CallerServerSettings(InetSocketAddress address, int maximumBodyBytes, Accounts accounts) {

}
