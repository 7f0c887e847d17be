package org.sequoiahub.core.placement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Implements weighted rendezvous hashing: all processes that know the same nodes compute the same
 * ranking for a key, and adding or removing a node moves only the keys that it gains or loses.
 */
public final class Rendezvous {

  private static final double UNIT = 0x1.0p-53;

  private Rendezvous() {}

  /**
   * Returns the highest-ranked node for {@code key}, with equal weights; empty if there is none.
   */
  public static <T> Optional<T> first(String key, Collection<T> nodes, Function<T, String> id) {
    long keyHash = hash(key);
    T best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (T node : nodes) {
      double score = score(keyHash, hash(id.apply(node)), 1);
      if (score > bestScore) {
        best = node;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns all nodes ranked for {@code key} with equal weights, the highest first. */
  public static <T> List<T> ranking(String key, Collection<T> nodes, Function<T, String> id) {
    return rankingByHash(key, nodes, node -> hash(id.apply(node)));
  }

  /**
   * Returns all nodes ranked for {@code key} with equal weights, the highest first.
   *
   * @param idHash returns the {@link #hash} of a node's id
   */
  public static <T> List<T> rankingByHash(
      String key, Collection<T> nodes, ToLongFunction<T> idHash) {
    long keyHash = hash(key);
    List<Scored<T>> scored = new ArrayList<>(nodes.size());
    for (T node : nodes) {
      scored.add(new Scored<>(node, score(keyHash, idHash.applyAsLong(node), 1)));
    }
    scored.sort(Comparator.comparingDouble((Scored<T> s) -> -s.score));
    List<T> ranked = new ArrayList<>(scored.size());
    for (Scored<T> each : scored) {
      ranked.add(each.node);
    }
    return ranked;
  }

  /**
   * Returns the {@code count} highest-ranked nodes, choosing one node of each failure domain before
   * a second one of any, so that the key keeps other candidates if a domain fails.
   */
  public static <T> List<T> spread(
      String key,
      Collection<T> nodes,
      int count,
      Function<T, String> id,
      Function<T, String> domain,
      Function<T, Integer> weight) {
    long keyHash = hash(key);
    List<Scored<T>> scored = new ArrayList<>(nodes.size());
    for (T node : nodes) {
      scored.add(new Scored<>(node, score(keyHash, hash(id.apply(node)), weight.apply(node))));
    }
    scored.sort(Comparator.comparingDouble((Scored<T> s) -> -s.score));
    List<T> chosen = new ArrayList<>();
    while (chosen.size() < count && !scored.isEmpty()) {
      takeOneOfEachDomain(scored, chosen, count, domain);
    }
    return chosen;
  }

  /**
   * Returns the {@code count} highest-ranked nodes for {@code key} with equal weights, the highest
   * first: the beginning of {@link #rankingByHash}, without sorting all nodes.
   *
   * @param idHash returns the {@link #hash} of a node's id
   */
  public static <T> List<T> topByHash(
      String key, Collection<T> nodes, int count, ToLongFunction<T> idHash) {
    checkArgument(count >= 0, "count must not be negative, was %s", count);
    long keyHash = hash(key);
    List<T> top = new ArrayList<>(count + 1);
    long[] draws = new long[count + 1];
    for (T node : nodes) {
      long draw = draw(keyHash, idHash.applyAsLong(node));
      int position = top.size();
      while (position > 0 && draws[position - 1] < draw) {
        draws[position] = draws[position - 1];
        position--;
      }
      if (position < count) {
        draws[position] = draw;
        top.add(position, node);
        if (top.size() > count) {
          top.remove(count);
        }
      }
    }
    return top;
  }

  /** Returns a number from 0 to 1 that is the same for {@code text} in every process. */
  public static double uniform(String text) {
    return (hash(text) >>> 11) * UNIT;
  }

  /** Returns a 64-bit hash of {@code text} that is the same in every process. */
  public static long hash(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }

  private static <T> void takeOneOfEachDomain(
      List<Scored<T>> scored, List<T> chosen, int count, Function<T, String> domain) {
    Set<String> used = new HashSet<>();
    List<Scored<T>> left = new ArrayList<>();
    for (Scored<T> candidate : scored) {
      if (chosen.size() < count && used.add(domain.apply(candidate.node))) {
        chosen.add(candidate.node);
      } else {
        left.add(candidate);
      }
    }
    scored.clear();
    scored.addAll(left);
  }

  private static double score(long keyHash, long nodeHash, int weight) {
    double uniform = (draw(keyHash, nodeHash) + 1) * UNIT;
    return -weight / Math.log(uniform - UNIT / 2);
  }

  /** Returns a pseudorandom number of 53 bits; with equal weights, nodes are ranked by it. */
  private static long draw(long keyHash, long nodeHash) {
    return mix(keyHash ^ Long.rotateLeft(nodeHash, 32)) >>> 11;
  }

  /** Applies the finalizer of MurmurHash3, which spreads every input bit over the whole word. */
  private static long mix(long value) {
    long x = value;
    x = (x ^ (x >>> 33)) * 0xff51afd7ed558ccdL;
    x = (x ^ (x >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return x ^ (x >>> 33);
  }

  private record Scored<T>(T node, double score) {}
}
