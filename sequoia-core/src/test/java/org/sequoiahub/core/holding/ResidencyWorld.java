package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.ModelSpec;

/** Simulates a runner as the platform documents it, together with the residency that orders it. */
final class ResidencyWorld {

  private static final int PLACES = 4;
  private static final long LOAD_MILLIS = 250;
  private static final EngineSpec ENGINE =
      new EngineSpec(8, 10_000, 1_000, PLACES, 3, 4, List.of(new ModelSpec("m", 800, 10, 500)));

  private final RunnerResidency residency =
      new RunnerResidency(
          ENGINE, ResidencySettings.DEFAULT, LoadEstimates.of(ResidencySettings.DEFAULT, 8));
  private final Map<String, Long> readyAt = new LinkedHashMap<>();
  private final Map<String, Integer> versions = new HashMap<>();
  private final Map<String, Integer> published = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Set<String> unloading = new LinkedHashSet<>();
  private final Set<String> demanded = new LinkedHashSet<>();
  private long sequence;
  private long now = 1_000_000;

  void advance(long millis) {
    now += millis;
    completeUnloads();
  }

  void demand(String target) {
    demanded.add(target);
  }

  void start(String target) {
    if (readyAt.getOrDefault(target, Long.MAX_VALUE) <= now && !unloading.contains(target)) {
      running.merge(target, 1, Integer::sum);
    }
  }

  void finish(String target) {
    running.computeIfPresent(target, (t, count) -> count > 1 ? count - 1 : null);
    demanded.remove(target);
    completeUnloads();
  }

  void publish(String target) {
    published.merge(target, 2, (old, two) -> old + 1);
  }

  void sendNextOrder() {
    nextOrder().ifPresent(order -> residency.replyReceived(order, execute(order), 0, now));
  }

  void sendNextOrderAndLoseReply() {
    nextOrder()
        .ifPresent(
            order -> {
              execute(order);
              residency.replyReceived(order, OrderReply.UNKNOWN, 0, now);
            });
  }

  void rejectNextOrder() {
    nextOrder().ifPresent(order -> residency.replyReceived(order, OrderReply.CONFLICT, 0, now));
  }

  void report() {
    if (residency.isReportDue(now)) {
      residency.applyReport(currentReport(), now);
      assertThat(residency.sequence()).isEqualTo(sequence);
    }
  }

  /** Ends all requests and asserts that every demand is eventually met. */
  void awaitAllDemands() {
    running.clear();
    for (int round = 0; round < 200; round++) {
      advance(300);
      report();
      sendNextOrder();
      demanded.removeIf(target -> readyAt.getOrDefault(target, Long.MAX_VALUE) <= now);
    }
    assertWithMessage("demands that were never met").that(demanded).isEmpty();
  }

  private Optional<Order> nextOrder() {
    List<Demand> demands = new ArrayList<>();
    demanded.forEach(target -> demands.add(new Demand("m", target.substring(2), 1, 1, 0)));
    Optional<Order> next =
        residency.nextOrder(
            demands,
            target -> running.getOrDefault(target, 0),
            target -> published.getOrDefault(target, 0),
            0,
            now);
    next.ifPresent(order -> residency.orderSent(order, now));
    return next;
  }

  private OrderReply execute(Order order) {
    String target = order.target();
    if (order.adapter().isEmpty()) {
      return OrderReply.DONE;
    }
    sequence++;
    if (order.operation() == Order.Operation.LOAD) {
      assertWithMessage("ordered to load an adapter that is already held")
          .that(readyAt)
          .doesNotContainKey(target);
      readyAt.put(target, now + LOAD_MILLIS);
      versions.put(target, Math.max(1, order.version()));
      assertWithMessage("adapters held or loading").that(readyAt.size()).isAtMost(PLACES);
      return OrderReply.ACCEPTED;
    }
    boolean outdated = versions.getOrDefault(target, 0) < published.getOrDefault(target, 0);
    int users = running.getOrDefault(target, 0);
    assertWithMessage("unloaded under a running request although its version is the newest")
        .that(users > 0 && !outdated)
        .isFalse();
    if (users > 0) {
      unloading.add(target);
      return OrderReply.ACCEPTED;
    }
    readyAt.remove(target);
    return OrderReply.DONE;
  }

  private void completeUnloads() {
    for (String target : List.copyOf(unloading)) {
      if (!running.containsKey(target)) {
        unloading.remove(target);
        readyAt.remove(target);
      }
    }
  }

  private RunnerReport currentReport() {
    Map<String, Integer> resident = new HashMap<>();
    Map<String, Integer> loading = new HashMap<>();
    readyAt.forEach(
        (target, ready) -> (ready <= now ? resident : loading).put(target, versions.get(target)));
    return new RunnerReport(0, sequence, false, Set.of("m"), resident, loading);
  }
}
