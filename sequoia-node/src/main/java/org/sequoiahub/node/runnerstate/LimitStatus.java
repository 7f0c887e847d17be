package org.sequoiahub.node.runnerstate;

/**
 * A runner's limit in force, as reported to operators.
 *
 * @param runner the key of the runner's incarnation
 * @param perSecond the limit (requests per second)
 * @param ageMillis how long ago a host received a response that stated it (ms)
 * @param fromPeer whether another host received that response
 * @param sentInWindow the calls of this host to the runner in the last 4 s
 * @param issuer the host whose permits this host uses; empty if none
 */
public record LimitStatus(
    String runner,
    double perSecond,
    long ageMillis,
    boolean fromPeer,
    int sentInWindow,
    String issuer) {}
