package org.onyxhinge.core.resume;

/**
 * What began a stream. Only targets of the same service and version can continue it.
 *
 * @param service the service
 * @param version software version of the target
 */
public record StreamOrigin(String service, String version) {}
