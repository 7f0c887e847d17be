package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.upstream.RunnerEntry;

/**
 * Selects the few runners of a large service that are evaluated for a request, so that the cost of
 * a placement does not grow with the number of runners.
 *
 * <p>These are the runners that have the adapter, the first ones of the adapter's ranking, and the
 * least loaded ones of a random sample. Hosts learn of each other's requests some 100 ms late; if
 * each considered the least loaded runners of the whole service, all would send to the same ones.
 */
public final class CandidateShortlist {

  /** Number of runners up to which all are evaluated. */
  private static final int MAX_RUNNERS_WITHOUT_SHORTLIST = 32;

  /**
   * Number of runners from the adapter's ranking: beyond the fourth one, the ranking no longer
   * changes the cost of a load, and some of them may be excluded.
   */
  private static final int RANKED_RUNNERS = 8;

  /** Number of runners that are drawn at random. */
  private static final int SAMPLED_RUNNERS = 16;

  /** Number of the drawn runners that are evaluated. */
  private static final int LEAST_LOADED_RUNNERS = 8;

  private final RandomGenerator random;

  /** Creates a shortlist that draws runners with a random number generator. */
  public CandidateShortlist(RandomGenerator random) {
    this.random = requireNonNull(random, "random must not be null");
  }

  /** Returns whether a service has so many runners that a shortlist is made. */
  public static boolean isNeeded(List<RunnerEntry> runners) {
    return runners.size() > MAX_RUNNERS_WITHOUT_SHORTLIST;
  }

  /**
   * Returns the runners to evaluate, each once.
   *
   * @param target the adapter, as model/adapter, or the base model
   * @param runners the usable runners of the service
   * @param holdsTarget whether a runner holds the adapter or is loading it
   * @param load the load of a runner; lower is better
   */
  public List<RunnerEntry> select(
      String target,
      List<RunnerEntry> runners,
      Predicate<RunnerEntry> holdsTarget,
      ToLongFunction<RunnerEntry> load) {
    if (!isNeeded(runners)) {
      return runners;
    }
    // By identity, as hashing a RunnerEntry covers all its fields.
    Set<RunnerEntry> selected = Collections.newSetFromMap(new IdentityHashMap<>());
    for (RunnerEntry runner : runners) {
      if (holdsTarget.test(runner)) {
        selected.add(runner);
      }
    }
    selected.addAll(Rendezvous.topByHash(target, runners, RANKED_RUNNERS, RunnerEntry::idHash));
    List<RunnerEntry> sample = new ArrayList<>(SAMPLED_RUNNERS);
    for (int drawn = 0; drawn < SAMPLED_RUNNERS; drawn++) {
      sample.add(runners.get(random.nextInt(runners.size())));
    }
    sample.sort(Comparator.comparingLong(load));
    selected.addAll(sample.subList(0, LEAST_LOADED_RUNNERS));
    return new ArrayList<>(selected);
  }
}
