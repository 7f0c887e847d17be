package org.sequoiahub.core.holding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahub.core.call.Target;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.upstream.RunnerEntry;

/**
 * Chooses the runners at which the adapters of a leaving runner are loaded before requests ask for
 * them.
 */
public final class AdapterRelocation {

  /** The priority of a demand that no request waits for. */
  private static final int LOWEST_PRIORITY = 9;

  private AdapterRelocation() {}

  /**
   * Returns the demands, by runner id. An adapter that another runner holds or loads needs none;
   * the others go to the runner that ranks first for requests, among those with a free place if any
   * has one.
   *
   * @param adapters the adapters in use at the leaving runner, as model/adapter
   * @param others the runners of the same service that may get orders
   */
  public static Map<String, List<Demand>> demands(
      Collection<String> adapters, Collection<RunnerEntry> others, Holdings holdings) {
    Map<String, List<Demand>> demands = new HashMap<>();
    for (String target : adapters) {
      boolean held = others.stream().anyMatch(runner -> holds(runner, target, holdings));
      if (!held) {
        destination(target, others, holdings)
            .ifPresent(
                runner ->
                    demands
                        .computeIfAbsent(runner.id(), id -> new ArrayList<>())
                        .add(
                            new Demand(
                                Target.model(target),
                                Target.adapter(target),
                                0,
                                0,
                                LOWEST_PRIORITY)));
      }
    }
    return demands;
  }

  private static boolean holds(RunnerEntry runner, String target, Holdings holdings) {
    return holdings.find(runner.id()).filter(h -> h.adapters().containsKey(target)).isPresent();
  }

  private static Optional<RunnerEntry> destination(
      String target, Collection<RunnerEntry> others, Holdings holdings) {
    List<RunnerEntry> ranked =
        Rendezvous.rankingByHash(target, others, RunnerEntry::idHash).stream()
            .filter(runner -> holdings.find(runner.id()).isPresent())
            .toList();
    return ranked.stream()
        .filter(
            runner ->
                holdings.find(runner.id()).filter(holding -> holding.freePlaces() > 0).isPresent())
        .findFirst()
        .or(() -> ranked.stream().findFirst());
  }
}
