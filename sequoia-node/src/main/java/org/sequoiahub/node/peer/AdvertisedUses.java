package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.sequoiahub.core.dispatch.FleetLoad;

/** Determines what this host advertises of its requests in flight, by runner. */
public final class AdvertisedUses {

  private final Supplier<Map<String, FleetLoad.Use>> current;
  private Map<String, FleetLoad.Use> lastAdvertised = Map.of();

  /**
   * Creates the state of a host that has advertised nothing.
   *
   * @param current returns what is in flight now
   */
  public AdvertisedUses(Supplier<Map<String, FleetLoad.Use>> current) {
    this.current = requireNonNull(current, "current must not be null");
  }

  /** Returns all uses. */
  public Map<String, FleetLoad.Use> all() {
    lastAdvertised = current.get();
    return lastAdvertised;
  }

  /**
   * Returns the uses that have changed since they were last advertised; a runner that is no longer
   * in use is included with {@link FleetLoad#NONE}.
   */
  public Map<String, FleetLoad.Use> changed() {
    Map<String, FleetLoad.Use> previous = lastAdvertised;
    Map<String, FleetLoad.Use> changed = new HashMap<>(all());
    changed.entrySet().removeIf(entry -> entry.getValue().equals(previous.get(entry.getKey())));
    for (String runner : previous.keySet()) {
      if (!lastAdvertised.containsKey(runner)) {
        changed.put(runner, FleetLoad.NONE);
      }
    }
    return changed;
  }
}
