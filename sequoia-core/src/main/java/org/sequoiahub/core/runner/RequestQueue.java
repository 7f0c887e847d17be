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

/** The requests that wait for one runner, grouped by adapter version and ordered by age. */
final class RequestQueue {

  private final long briefAgeMillis;
  private final Map<AdapterVersion, LinkedHashMap<String, QueuedRequest>> byAdapter =
      new LinkedHashMap<>();
  private final Map<String, AdapterVersion> adapterOf = new LinkedHashMap<>();

  RequestQueue(long briefAgeMillis) {
    this.briefAgeMillis = briefAgeMillis;
  }

  void add(RunnerRequest request, long nowMillis) {
    byAdapter
        .computeIfAbsent(request.adapter(), a -> new LinkedHashMap<>())
        .put(request.id(), new QueuedRequest(request, nowMillis));
    adapterOf.put(request.id(), request.adapter());
  }

  Optional<RunnerRequest> remove(String requestId) {
    AdapterVersion adapter = adapterOf.remove(requestId);
    if (adapter == null) {
      return Optional.empty();
    }
    Map<String, QueuedRequest> group = byAdapter.getOrDefault(adapter, new LinkedHashMap<>());
    QueuedRequest queued = group.remove(requestId);
    if (group.isEmpty()) {
      byAdapter.remove(adapter);
    }
    return Optional.ofNullable(queued).map(q -> q.request);
  }

  int size() {
    return adapterOf.size();
  }

  int waiting(AdapterVersion adapter) {
    Map<String, QueuedRequest> group = byAdapter.get(adapter);
    return group == null ? 0 : group.size();
  }

  boolean contains(String requestId) {
    return adapterOf.containsKey(requestId);
  }

  Collection<AdapterVersion> adapters() {
    return byAdapter.keySet();
  }

  /** Returns the request to start next among the adapters that {@code startable} accepts. */
  Optional<RunnerRequest> next(Predicate<AdapterVersion> startable, long nowMillis) {
    QueuedRequest best = null;
    for (Map.Entry<AdapterVersion, LinkedHashMap<String, QueuedRequest>> group :
        byAdapter.entrySet()) {
      if (startable.test(group.getKey())) {
        for (QueuedRequest queued : group.getValue().values()) {
          best = moreUrgent(best, queued, nowMillis);
        }
      }
    }
    return Optional.ofNullable(best).map(q -> q.request);
  }

  /** Returns how long the oldest request for {@code adapter} has waited (ms); 0 if none waits. */
  long oldestWait(AdapterVersion adapter, long nowMillis) {
    Map<String, QueuedRequest> group = byAdapter.get(adapter);
    return group == null ? 0 : nowMillis - group.values().iterator().next().sinceMillis;
  }

  boolean hasUrgent(AdapterVersion adapter, long nowMillis) {
    Map<String, QueuedRequest> group = byAdapter.get(adapter);
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
    Iterator<LinkedHashMap<String, QueuedRequest>> groups = byAdapter.values().iterator();
    while (groups.hasNext()) {
      Map<String, QueuedRequest> group = groups.next();
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

  private QueuedRequest moreUrgent(
      @Nullable QueuedRequest best, QueuedRequest queued, long nowMillis) {
    if (best == null) {
      return queued;
    }
    boolean urgent = isUrgent(queued, nowMillis);
    if (urgent != isUrgent(best, nowMillis)) {
      return urgent ? queued : best;
    }
    return queued.sinceMillis < best.sinceMillis ? queued : best;
  }

  /**
   * Returns whether a request is interactive, or is a brief that has waited long enough to be
   * treated as interactive, so that interactive requests never starve it.
   */
  private boolean isUrgent(QueuedRequest queued, long nowMillis) {
    return queued.request.priority() == Priority.INTERACTIVE
        || nowMillis - queued.sinceMillis >= briefAgeMillis;
  }

  private record QueuedRequest(RunnerRequest request, long sinceMillis) {}
}
