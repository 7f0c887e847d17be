package org.sequoiahub.core.runner;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.record.AdapterVersion;

/** A minimal engine that asserts that the orders and requests it receives are allowed. */
final class EngineOracle {

  private final int slots;
  private final boolean checksFencing;
  private final Map<String, AdapterVersion> active = new HashMap<>();
  private final Set<AdapterVersion> resident = new HashSet<>();
  private final Set<String> everStarted = new HashSet<>();
  private final Set<String> reportedNotRun = new HashSet<>();
  private long highestFencing;

  EngineOracle(int slots, boolean checksFencing) {
    this.slots = slots;
    this.checksFencing = checksFencing;
  }

  /** Starts a request; returns whether the engine accepted it. */
  boolean start(RunnerRequest request) {
    if (!resident.contains(request.adapter()) || everStarted.contains(request.id())) {
      return false;
    }
    assertWithMessage("started although reported as not-run: %s", request.id())
        .that(reportedNotRun)
        .doesNotContain(request.id());
    everStarted.add(request.id());
    active.put(request.id(), request.adapter());
    return true;
  }

  void recordNotRun(String id) {
    assertWithMessage("reported as not-run although started").that(everStarted).doesNotContain(id);
    reportedNotRun.add(id);
  }

  boolean passesFencing(long number) {
    if (checksFencing && number < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, number);
    return true;
  }

  long highestFencing() {
    return highestFencing;
  }

  boolean load(AdapterVersion adapter) {
    if (resident.size() >= slots && !resident.contains(adapter)) {
      return false;
    }
    return resident.add(adapter);
  }

  void unload(AdapterVersion adapter) {
    assertWithMessage("evicted under a running request: %s", adapter)
        .that(active.values())
        .doesNotContain(adapter);
    resident.remove(adapter);
  }

  /** Ends the n-th active request, if there is one, and returns its id. */
  List<String> finish(int n) {
    List<String> ids = new ArrayList<>(active.keySet());
    if (ids.isEmpty()) {
      return List.of();
    }
    String id = ids.get(n % ids.size());
    active.remove(id);
    return List.of(id);
  }

  /** Cancels a request; returns false if the engine does not know it, and it may still arrive. */
  boolean cancel(String id) {
    active.remove(id);
    return everStarted.contains(id);
  }

  /** Clears the engine's state and returns the ids of the requests that this ended. */
  List<String> coldRestart() {
    List<String> ids = List.copyOf(active.keySet());
    active.clear();
    resident.clear();
    return ids;
  }

  EngineReport report(long sampledMillis) {
    return new EngineReport(sampledMillis, resident, Set.of(), active);
  }

  boolean isActive(String id) {
    return active.containsKey(id);
  }

  int activeCount() {
    return active.size();
  }
}
