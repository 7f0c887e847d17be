package org.sequoiahub.core.runner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;

/** The requests that wait for one runner, grouped by adapter version, oldest first. */
final class RequestQueue {

  private final long briefAgeMillis;
  private final Map<AdapterVersion, LinkedHashMap<String, Queued>> byAdapter =
      new LinkedHashMap<>();
  private final Map<String, AdapterVersion> adapterOf = new LinkedHashMap<>();

  RequestQueue(long briefAgeMillis) {
    this.briefAgeMillis = briefAgeMillis;
  }

  void add(RunnerRequest request, long nowMillis) {
    byAdapter
        .computeIfAbsent(request.adapter(), a -> new LinkedHashMap<>())
        .put(request.id(), new Queued(request, nowMillis));
    adapterOf.put(request.id(), request.adapter());
  }

  Optional<RunnerRequest> remove(String requestId) {
    AdapterVersion adapter = adapterOf.remove(requestId);
    if (adapter == null) {
      return Optional.empty();
    }
    Map<String, Queued> group = byAdapter.getOrDefault(adapter, new LinkedHashMap<>());
    Queued queued = group.remove(requestId);
    if (group.isEmpty()) {
      byAdapter.remove(adapter);
    }
    return Optional.ofNullable(queued).map(q -> q.request);
  }

  int size() {
    return adapterOf.size();
  }

  int waiting(AdapterVersion adapter) {
    Map<String, Queued> group = byAdapter.get(adapter);
    return group == null ? 0 : group.size();
  }

  boolean contains(String requestId) {
    return adapterOf.containsKey(requestId);
  }

  Collection<AdapterVersion> adapters() {
    return byAdapter.keySet();
  }

  /** Returns the request to start next among the adapters that {@code startable} admits. */
  Optional<RunnerRequest> next(Predicate<AdapterVersion> startable, long nowMillis) {
    Queued best = null;
    for (Map.Entry<AdapterVersion, LinkedHashMap<String, Queued>> group : byAdapter.entrySet()) {
      if (startable.test(group.getKey())) {
        for (Queued queued : group.getValue().values()) {
          best = better(best, queued, nowMillis);
        }
      }
    }
    return Optional.ofNullable(best).map(q -> q.request);
  }

  /** Returns how long the oldest request for {@code adapter} has waited; 0 if none waits. */
  long oldestWait(AdapterVersion adapter, long nowMillis) {
    Map<String, Queued> group = byAdapter.get(adapter);
    return group == null ? 0 : nowMillis - group.values().iterator().next().sinceMillis;
  }

  boolean hasUrgent(AdapterVersion adapter, long nowMillis) {
    Map<String, Queued> group = byAdapter.get(adapter);
    return group != null && group.values().stream().anyMatch(q -> isUrgent(q, nowMillis));
  }

  /** Removes and returns the requests whose deadline has passed. */
  List<RunnerRequest> removeExpired(long nowMillis) {
    return removeIf(request -> request.deadlineMillis() <= nowMillis);
  }

  List<RunnerRequest> removeAll() {
    return removeIf(request -> true);
  }

  private List<RunnerRequest> removeIf(Predicate<RunnerRequest> condition) {
    List<RunnerRequest> removed = new ArrayList<>();
    Iterator<LinkedHashMap<String, Queued>> groups = byAdapter.values().iterator();
    while (groups.hasNext()) {
      Map<String, Queued> group = groups.next();
      group
          .values()
          .removeIf(
              queued -> {
                boolean remove = condition.test(queued.request);
                if (remove) {
                  removed.add(queued.request);
                  adapterOf.remove(queued.request.id());
                }
                return remove;
              });
      if (group.isEmpty()) {
        groups.remove();
      }
    }
    return removed;
  }

  private Queued better(@Nullable Queued best, Queued queued, long nowMillis) {
    if (best == null) {
      return queued;
    }
    boolean urgent = isUrgent(queued, nowMillis);
    if (urgent != isUrgent(best, nowMillis)) {
      return urgent ? queued : best;
    }
    return queued.sinceMillis < best.sinceMillis ? queued : best;
  }

  /** A brief that has aged counts as interactive, so that interactive calls never starve it. */
  private boolean isUrgent(Queued queued, long nowMillis) {
    return queued.request.priority() == Priority.INTERACTIVE
        || nowMillis - queued.sinceMillis >= briefAgeMillis;
  }

  private record Queued(RunnerRequest request, long sinceMillis) {}
}
