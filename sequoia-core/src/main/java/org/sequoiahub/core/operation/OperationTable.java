package org.sequoiahub.core.operation;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.verdict.Verdict;

/**
 * Tracks the operations of one dispatcher incarnation so that each of them runs at most once.
 *
 * <p>An id names the incarnation that minted it, and only that incarnation runs the operation. A
 * restarted dispatcher has no record of the operations that it ran; it draws a new incarnation and
 * refuses the old ids as {@code MayHaveRun}. This relies on no clock, lease or consensus, so
 * neither a pause nor a partition can make an operation run twice.
 *
 * <p>Not thread-safe: it is confined to one duty.
 *
 * @param <A> the type of a stored response
 */
public final class OperationTable<A> {

  private static final long FULL_TABLE_RETRY_AFTER_MILLIS = 1_000;

  private final String host;
  private final long incarnation;
  private final long lifetimeMillis;
  private final int maxOperations;
  private final Map<Long, Entry<A>> entries = new HashMap<>();
  private final Deque<MintedBatch> mintedBatches = new ArrayDeque<>();
  private long lastSequence;
  private long lastExpiredSequence;

  /**
   * Creates an empty table.
   *
   * @param host the host's name
   * @param incarnation a number drawn at random when the process started
   * @param lifetimeMillis how long an id stays valid after it was minted
   * @param maxOperations the maximum number of operations in the table at once
   */
  public OperationTable(String host, long incarnation, long lifetimeMillis, int maxOperations) {
    checkArgument(lifetimeMillis > 0, "lifetimeMillis must be above 0");
    checkArgument(maxOperations > 0, "maxOperations must be above 0");
    this.host = requireNonNull(host, "host must not be null");
    this.incarnation = incarnation;
    this.lifetimeMillis = lifetimeMillis;
    this.maxOperations = maxOperations;
  }

  /** Mints ids of operations, each of which this incarnation runs at most once. */
  public List<OperationId> mint(int count, long nowMillis) {
    checkArgument(count > 0, "count must be above 0, was %s", count);
    expire(nowMillis);
    List<OperationId> ids = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      ids.add(new OperationId(host, incarnation, ++lastSequence));
    }
    mintedBatches.add(new MintedBatch(lastSequence, nowMillis + lifetimeMillis));
    return ids;
  }

  /**
   * Decides on a call that carries {@code id}. On {@code Run}, the operation is recorded as running
   * until its outcome is reported.
   */
  public BeginDecision<A> begin(OperationId id, long nowMillis) {
    expire(nowMillis);
    if (!id.host().equals(host) || id.incarnation() != incarnation) {
      return mayHaveRun(
          "operation-owner-gone",
          "the dispatcher that issued this operation id has ended; the outcome is unknown");
    }
    if (id.sequence() > lastSequence) {
      return refuseNotRun("operation-unknown", "this operation id was never issued", 0);
    }
    Entry<A> existing = entries.get(id.sequence());
    if (existing != null) {
      return existing.answer != null
          ? new BeginDecision.Replay<>(existing.answer)
          : existing.ended
              ? mayHaveRun("answer-lost", "the outcome of the operation is unknown")
              : new BeginDecision.Wait<>();
    }
    if (id.sequence() <= lastExpiredSequence) {
      return mayHaveRun("operation-expired", "this operation id has expired");
    }
    if (entries.size() >= maxOperations) {
      return refuseNotRun(
          "operations-full", "the operation table is full", FULL_TABLE_RETRY_AFTER_MILLIS);
    }
    entries.put(id.sequence(), new Entry<>());
    return new BeginDecision.Run<>();
  }

  /** Records that an operation ran; later calls with {@code id} receive {@code answer}. */
  public void completed(OperationId id, A answer) {
    Entry<A> entry = entries.get(id.sequence());
    if (entry != null) {
      entry.answer = requireNonNull(answer, "answer must not be null");
      entry.ended = true;
    }
  }

  /** Records that it is unknown whether an operation ran; it will not be run again. */
  public void outcomeUnknown(OperationId id) {
    Entry<A> entry = entries.get(id.sequence());
    if (entry != null) {
      entry.ended = true;
    }
  }

  /** Records that an operation certainly did not run; a later call may run it. */
  public void notRun(OperationId id) {
    entries.remove(id.sequence());
  }

  /** Returns the number of operations in the table. */
  public int size() {
    return entries.size();
  }

  /** Returns how long a newly minted id stays valid, in milliseconds. */
  public long lifetimeMillis() {
    return lifetimeMillis;
  }

  private void expire(long nowMillis) {
    while (!mintedBatches.isEmpty() && mintedBatches.getFirst().expiresMillis <= nowMillis) {
      long through = mintedBatches.removeFirst().lastSequence;
      for (long sequence = lastExpiredSequence + 1; sequence <= through; sequence++) {
        removeUnlessRunning(sequence);
      }
      lastExpiredSequence = through;
    }
  }

  private void removeUnlessRunning(long sequence) {
    Entry<A> entry = entries.get(sequence);
    if (entry != null && entry.ended) {
      entries.remove(sequence);
    }
  }

  private BeginDecision<A> refuseNotRun(String reason, String message, long retryAfterMillis) {
    return new BeginDecision.Refuse<>(new Verdict.NotRun(reason, message, retryAfterMillis));
  }

  private BeginDecision<A> mayHaveRun(String reason, String message) {
    return new BeginDecision.Refuse<>(new Verdict.MayHaveRun(reason, message));
  }

  private record MintedBatch(long lastSequence, long expiresMillis) {}

  private static final class Entry<A> {
    private @Nullable A answer;
    private boolean ended;
  }
}
