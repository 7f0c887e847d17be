package org.sequoiahub.node.runnerstate;

/**
 * A runner that fails when it refuses too many calls, as reported to operators.
 *
 * @param runner the key of the runner's incarnation
 * @param refusalsPerSecond how many refusals per second it withstands
 * @param ageMillis how long ago a host received a response that stated it (ms)
 * @param fromPeer whether another host received that response
 * @param capacity how many calls of all hosts it is known to accept; 0 if this host was not told
 * @param held the calls and unused permits of all hosts, as this host was told last
 * @param issuer the host whose permits this host uses; empty if none
 */
public record CapacityStatus(
    String runner,
    double refusalsPerSecond,
    long ageMillis,
    boolean fromPeer,
    int capacity,
    int held,
    String issuer) {}
