package org.banyancove.gateway.tunnel;

import java.net.InetSocketAddress;

import org.banyancove.core.DataCenterName;

/**
 * Another gateway, through which endpoints may be reached.
 *
 * @param name the name of its VM
 * @param address the address at which it accepts tunnels
 * @param dataCenter its data centre
 */
public record TunnelPeer(String name, InetSocketAddress address, DataCenterName dataCenter) {
}
