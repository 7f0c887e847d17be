package org.sequoiahub.node.call;

/**
 * What this host rejected for lack of capacity at one service; for the status page.
 *
 * @param rejected the number of rejections since the start
 * @param ageMillis the age of the latest one (ms)
 * @param reason the reason of the latest one
 * @param retryAfterMillis the time to retry that the latest one stated (ms)
 */
public record SchedulingStatus(
    String service, long rejected, long ageMillis, String reason, long retryAfterMillis) {}
