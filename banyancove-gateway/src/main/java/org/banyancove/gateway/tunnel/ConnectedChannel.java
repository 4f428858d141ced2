package org.banyancove.gateway.tunnel;

import io.netty.channel.Channel;

/**
 * An established connection to an endpoint.
 *
 * @param channel the channel, without handlers of the protocol
 * @param tunnelled whether it leads through another gateway
 */
public record ConnectedChannel(Channel channel, boolean tunnelled) {
}
