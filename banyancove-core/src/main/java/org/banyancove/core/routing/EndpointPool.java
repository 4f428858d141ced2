package org.banyancove.core.routing;

/**
 * The endpoints of a service in a data center at the same price, which are equivalent for
 * placement.
 *
 * @param pricePerHour the hourly price of each endpoint
 * @param endpoints the live endpoints
 */
record EndpointPool(double pricePerHour, EndpointGroup endpoints) {
}
