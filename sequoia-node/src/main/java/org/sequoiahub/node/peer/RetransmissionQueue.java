package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Bounded queue of changes, each of which is sent several times because datagrams may be lost. When
 * the queue is full, the changes that were sent most often are dropped first.
 */
final class RetransmissionQueue {

  /**
   * Delays between the transmissions of a change (ms): it is repeated after 0.2, 1, 2 and 3.5 s. A
   * dead delegate is replaced within 1.4 s, and a change must reach all hosts within 3 s.
   */
  private static final long[] RETRANSMIT_DELAYS_MILLIS = {200, 800, 1_000, 1_500};

  /** Changes by the number of times they were sent; each queue is ordered by due time. */
  private final List<Deque<Pending>> bySendCount = new ArrayList<>();

  private final int capacity;
  private int size;

  private record Pending(QuarantineChange change, long dueMillis) {}

  /** Creates an empty queue for {@code capacity} changes. */
  RetransmissionQueue(int capacity) {
    this.capacity = capacity;
    for (int i = 0; i <= RETRANSMIT_DELAYS_MILLIS.length; i++) {
      bySendCount.add(new ArrayDeque<>());
    }
  }

  /** Adds a change that is due at once. */
  void add(QuarantineChange change, long nowMillis) {
    for (int sent = bySendCount.size() - 1; sent >= 0 && size >= capacity; sent--) {
      if (bySendCount.get(sent).pollFirst() != null) {
        size--;
      }
    }
    bySendCount.get(0).addLast(new Pending(change, nowMillis));
    size++;
  }

  /** Returns whether any change is due. */
  boolean isDue(long nowMillis) {
    return bySendCount.stream().anyMatch(queue -> isDue(queue, nowMillis));
  }

  private static boolean isDue(Deque<Pending> queue, long nowMillis) {
    Pending first = queue.peekFirst();
    return first != null && first.dueMillis <= nowMillis;
  }

  /** Returns due changes, those sent least often first, and schedules their next transmission. */
  List<QuarantineChange> pollDue(int count, long nowMillis) {
    List<QuarantineChange> due = new ArrayList<>();
    for (int sent = 0; sent < bySendCount.size(); sent++) {
      Deque<Pending> queue = bySendCount.get(sent);
      while (due.size() < count && isDue(queue, nowMillis)) {
        QuarantineChange change = queue.removeFirst().change;
        due.add(change);
        if (sent < RETRANSMIT_DELAYS_MILLIS.length) {
          bySendCount
              .get(sent + 1)
              .addLast(new Pending(change, nowMillis + RETRANSMIT_DELAYS_MILLIS[sent]));
        } else {
          size--;
        }
      }
    }
    return due;
  }
}
