package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * News that is told several times, as datagrams get lost; bounded. What has been told most often
 * makes way first.
 */
final class RetransmissionQueue {

  /**
   * How long after it was told last news is told again (ms): in all after 0.2, 1, 2 and 3.5 s. A
   * delegate that died is replaced within 1.4 s, and all hosts must know within 3 s.
   */
  private static final long[] RETRANSMIT_DELAYS_MILLIS = {200, 800, 1_000, 1_500};

  /** By how often it has been told; each queue is in the order of its due times. */
  private final List<Deque<Pending>> bySendCount = new ArrayList<>();

  private final int capacity;
  private int size;

  private record Pending(QuarantineChange change, long dueMillis) {}

  /** Creates an empty store for {@code max} items. */
  RetransmissionQueue(int max) {
    this.capacity = max;
    for (int i = 0; i <= RETRANSMIT_DELAYS_MILLIS.length; i++) {
      bySendCount.add(new ArrayDeque<>());
    }
  }

  /** Adds what is to be told at once. */
  void add(QuarantineChange news, long nowMillis) {
    for (int told = bySendCount.size() - 1; told >= 0 && size >= capacity; told--) {
      if (bySendCount.get(told).pollFirst() != null) {
        size--;
      }
    }
    bySendCount.get(0).addLast(new Pending(news, nowMillis));
    size++;
  }

  /** Returns whether there is anything to tell now. */
  boolean isDue(long nowMillis) {
    return bySendCount.stream().anyMatch(queue -> isDue(queue, nowMillis));
  }

  private static boolean isDue(Deque<Pending> queue, long nowMillis) {
    Pending first = queue.peekFirst();
    return first != null && first.dueMillis <= nowMillis;
  }

  /** Returns what is due, the newest first told, and puts it back for its next repetition. */
  List<QuarantineChange> pollDue(int count, long nowMillis) {
    List<QuarantineChange> due = new ArrayList<>();
    for (int told = 0; told < bySendCount.size(); told++) {
      Deque<Pending> queue = bySendCount.get(told);
      while (due.size() < count && isDue(queue, nowMillis)) {
        QuarantineChange news = queue.removeFirst().change;
        due.add(news);
        if (told < RETRANSMIT_DELAYS_MILLIS.length) {
          bySendCount.get(told + 1).addLast(new Pending(news, nowMillis + RETRANSMIT_DELAYS_MILLIS[told]));
        } else {
          size--;
        }
      }
    }
    return due;
  }
}
