package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * News that is told several times, as datagrams get lost; bounded. What has been told most often
 * makes way first.
 */
final class RepeatedNews {

  /**
   * How long after it was told last news is told again (ms): in all after 0.2, 1, 2 and 3.5 s. A
   * delegate that died is replaced within 1.4 s, and all hosts must know within 3 s.
   */
  private static final long[] REPEAT_MILLIS = {200, 800, 1_000, 1_500};

  /** By how often it has been told; each queue is in the order of its due times. */
  private final List<Deque<Waiting>> byTimesTold = new ArrayList<>();

  private final int max;
  private int size;

  private record Waiting(News news, long dueMillis) {}

  /** Creates an empty store for {@code max} items. */
  RepeatedNews(int max) {
    this.max = max;
    for (int i = 0; i <= REPEAT_MILLIS.length; i++) {
      byTimesTold.add(new ArrayDeque<>());
    }
  }

  /** Adds what is to be told at once. */
  void add(News news, long nowMillis) {
    for (int told = byTimesTold.size() - 1; told >= 0 && size >= max; told--) {
      if (byTimesTold.get(told).pollFirst() != null) {
        size--;
      }
    }
    byTimesTold.get(0).addLast(new Waiting(news, nowMillis));
    size++;
  }

  /** Returns whether there is anything to tell now. */
  boolean isDue(long nowMillis) {
    return byTimesTold.stream().anyMatch(queue -> isDue(queue, nowMillis));
  }

  private static boolean isDue(Deque<Waiting> queue, long nowMillis) {
    Waiting first = queue.peekFirst();
    return first != null && first.dueMillis <= nowMillis;
  }

  /** Returns what is due, the newest first told, and puts it back for its next repetition. */
  List<News> take(int count, long nowMillis) {
    List<News> due = new ArrayList<>();
    for (int told = 0; told < byTimesTold.size(); told++) {
      Deque<Waiting> queue = byTimesTold.get(told);
      while (due.size() < count && isDue(queue, nowMillis)) {
        News news = queue.removeFirst().news;
        due.add(news);
        if (told < REPEAT_MILLIS.length) {
          byTimesTold.get(told + 1).addLast(new Waiting(news, nowMillis + REPEAT_MILLIS[told]));
        } else {
          size--;
        }
      }
    }
    return due;
  }
}
