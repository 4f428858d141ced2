package org.banyancove.core.routing;

/**
 * The choice of a placement policy.
 *
 * @param endpoint the endpoint
 * @param cachedTokens the estimated number of prompt tokens that it has cached
 */
record Choice(Endpoint endpoint, double cachedTokens) {
}
