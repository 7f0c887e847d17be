package org.sequoiahub.core.scheduling;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Decides which requests of one service are rejected at once, and when their callers may retry.
 *
 * <p>Each rejection reserves the time at which capacity for the request is predicted, after the
 * reservations before it. A request whose content was rejected here and that returns within its
 * time does not wait behind the other reservations; one that returns sooner is told the same time
 * again.
 */
public final class LoadShedding {

  /** Shortest Retry-After (ms). */
  static final long MIN_RETRY_AFTER_MILLIS = 100;

  /**
   * Longest Retry-After (ms); callers honour it only up to a third of their time, and predictions
   * further ahead are void.
   */
  static final long MAX_RETRY_AFTER_MILLIS = 10_000;

  /** By how much sooner than told a request may return (ms): clocks and rounding of callers. */
  static final long EARLY_RETURN_MILLIS = 50;

  /** For how long after the time told a reservation is kept (ms). */
  static final long RESERVATION_MILLIS = 1_000;

  /**
   * Fraction of the time to its target within which a request of a workspace that exceeds its share
   * must start: its excess is rejected before it makes others late.
   */
  static final double OVERUSE_TARGET_FRACTION = 0.5;

  /**
   * Fraction of the time between target and deadline that a new request may be late while others
   * wait. Requests that are told to retry need the rest, as their time runs on meanwhile; and the
   * longer the queue, the more requests lose the value that they have before their target.
   */
  static final double LATE_FRACTION = 0.25;

  /** Maximum number of reservations, as callers determine how many contents there are. */
  static final int MAX_RESERVATIONS = 4_096;

  private final Map<Integer, Reservation> reservations = new HashMap<>();

  /** The tokens of all reservations. */
  private long reservedTokens;

  /** Until when the predicted capacity is reserved (ms). */
  private long reservedUntilMillis = Long.MIN_VALUE;

  private long nextExpiryMillis = Long.MAX_VALUE;

  private record Reservation(long atMillis, int tokens) {
    long expiresMillis() {
      return atMillis + RESERVATION_MILLIS;
    }
  }

  /** The decision on a request. */
  public sealed interface Decision {}

  /** The request may be sent or wait. */
  public record Accepted() implements Decision {}

  /**
   * The request is rejected.
   *
   * @param reason why, for callers and logs
   * @param firstEventMillis the predicted time to its first event if it had been accepted (ms)
   * @param retryAfterMillis when the caller may retry (ms from now)
   */
  public record Rejected(String reason, double firstEventMillis, long retryAfterMillis)
      implements Decision {}

  /** Returns whether a request was rejected here before and returns in its time. */
  public boolean hasReturned(int checksum, long nowMillis) {
    removeExpired(nowMillis);
    Reservation reservation = reservations.get(checksum);
    return reservation != null && nowMillis >= reservation.atMillis - EARLY_RETURN_MILLIS;
  }

  /**
   * Decides on a request, and reserves a time for it if it is rejected.
   *
   * @param isNew whether it has just arrived; one that waits keeps its place before reservations
   * @param checksum the checksum of its content, by which it is recognized when it returns
   * @param outlook what it has to expect
   * @param tokensPerMilli the prompt tokens per millisecond that the service reads for this host
   */
  public Decision decide(
      WaitingRequest request,
      boolean isNew,
      int checksum,
      WaitPrediction.Outlook outlook,
      double tokensPerMilli,
      long nowMillis) {
    checkArgument(tokensPerMilli > 0, "tokensPerMilli must be above 0, was %s", tokensPerMilli);
    removeExpired(nowMillis);
    if (outlook.free()) {
      return new Accepted();
    }
    boolean reservationsPrecede = isNew && !request.returned();
    double reservedMillis = reservationsPrecede ? reservedTokens / tokensPerMilli : 0;
    double firstEvent = outlook.firstEventMillis() + reservedMillis;
    double timeToTarget = Math.max(0, request.targetMillis() - nowMillis);
    double timeToDeadline = request.deadlineMillis() - nowMillis;
    boolean overShare = isNew && request.exceedsShare();
    double allowed = timeToDeadline;
    if (overShare) {
      allowed = Math.min(timeToDeadline, timeToTarget * OVERUSE_TARGET_FRACTION);
    } else if (reservationsPrecede) {
      double late = Math.max(0, timeToDeadline - timeToTarget) * LATE_FRACTION;
      allowed = Math.min(timeToDeadline, timeToTarget + late);
    }
    if (firstEvent <= allowed) {
      return new Accepted();
    }
    String reason =
        overShare
            ? "the workspace exceeds its share of the capacity"
            : "the next event would miss its deadline";
    // Once the excess has been read, the request would be in time.
    double excess = Math.max(0, outlook.firstEventMillis() - allowed);
    return new Rejected(
        reason, firstEvent, reserve(checksum, request, excess, tokensPerMilli, nowMillis));
  }

  /** Forgets the reservation of a request that has been sent. */
  public void started(int checksum) {
    remove(checksum);
  }

  private long reserve(
      int checksum,
      WaitingRequest request,
      double excessMillis,
      double tokensPerMilli,
      long nowMillis) {
    Reservation previous = reservations.get(checksum);
    if (previous != null && previous.atMillis > nowMillis + MIN_RETRY_AFTER_MILLIS) {
      return previous.atMillis - nowMillis;
    }
    remove(checksum);
    long earliest = nowMillis + Math.max(MIN_RETRY_AFTER_MILLIS, (long) Math.ceil(excessMillis));
    long at = Math.min(Math.max(earliest, reservedUntilMillis), nowMillis + MAX_RETRY_AFTER_MILLIS);
    reservedUntilMillis = at + (long) Math.ceil(request.tokens() / tokensPerMilli);
    if (reservations.size() < MAX_RESERVATIONS) {
      Reservation reservation = new Reservation(at, request.tokens());
      reservations.put(checksum, reservation);
      reservedTokens += request.tokens();
      nextExpiryMillis = Math.min(nextExpiryMillis, reservation.expiresMillis());
    }
    return at - nowMillis;
  }

  private void remove(int checksum) {
    Reservation removed = reservations.remove(checksum);
    if (removed != null) {
      reservedTokens -= removed.tokens;
    }
  }

  private void removeExpired(long nowMillis) {
    if (nowMillis < nextExpiryMillis) {
      return;
    }
    nextExpiryMillis = Long.MAX_VALUE;
    Iterator<Reservation> each = reservations.values().iterator();
    while (each.hasNext()) {
      Reservation reservation = each.next();
      if (reservation.expiresMillis() <= nowMillis) {
        reservedTokens -= reservation.tokens;
        each.remove();
      } else {
        nextExpiryMillis = Math.min(nextExpiryMillis, reservation.expiresMillis());
      }
    }
  }
}
