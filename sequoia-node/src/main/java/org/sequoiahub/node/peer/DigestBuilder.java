package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HeldBy;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.HostWord;

/**
 * Builds the digests for one kind of receiver. Changes are included at once and unchanged entries
 * in rotation, so that a lost datagram is made up for and the size does not grow with the fleet.
 */
final class DigestBuilder {

  /** Maximum age of a forwarded holding (ms): the holder of an older one is silent. */
  private static final long MAX_HOLDING_AGE_MILLIS = 2_500;

  private final int repeatedReports;
  private final int repeatedHoldings;

  /**
   * Number of consecutive digests that include a changed report: one digest may be lost, and the
   * next rotation is far away.
   */
  private static final int SENDS_PER_CHANGE = 3;

  private final Map<String, SentReport> sentReports = new HashMap<>();
  private final Map<String, Set<String>> sentHoldings = new HashMap<>();
  private int nextReport;

  /** The change key of the report last sent for a host, and how many times it was sent. */
  private record SentReport(String changeKey, int times) {}

  private int nextHolding;

  /**
   * Creates a builder.
   *
   * @param repeatedReports number of unchanged host reports in each digest
   * @param repeatedHoldings number of unchanged runner holdings in each digest
   */
  DigestBuilder(int repeatedReports, int repeatedHoldings) {
    this.repeatedReports = repeatedReports;
    this.repeatedHoldings = repeatedHoldings;
  }

  /** Adds the latest reports of hosts: all that changed, and some of the others in rotation. */
  void addReports(Digest.Builder digest, List<Member<HostState>> members, long nowMillis) {
    List<Member<HostState>> rest = new ArrayList<>();
    for (Member<HostState> member : members) {
      if (wasSentOftenEnough(member)) {
        rest.add(member);
      } else {
        addReport(digest, member, nowMillis);
      }
    }
    addRepeatedReports(digest, rest, nowMillis);
  }

  /** Returns whether a host's report was already sent often enough, and counts one more sending. */
  private boolean wasSentOftenEnough(Member<HostState> member) {
    String key = changeKey(member);
    SentReport last = sentReports.get(member.host());
    int times = last != null && last.changeKey.equals(key) ? last.times : 0;
    sentReports.put(member.host(), new SentReport(key, Math.min(SENDS_PER_CHANGE, times + 1)));
    return times >= SENDS_PER_CHANGE;
  }

  /** Adds the latest reports of some hosts, in rotation. */
  void addRepeatedReports(Digest.Builder digest, List<Member<HostState>> members, long nowMillis) {
    int count = Math.min(repeatedReports, members.size());
    for (int i = 0; i < count; i++) {
      addReport(digest, members.get(Math.floorMod(nextReport++, members.size())), nowMillis);
    }
  }

  /** Adds the holdings of the runners whose holder matches the predicate. */
  void addHoldings(
      Digest.Builder digest, Holdings holdings, Predicate<String> holder, long nowMillis) {
    List<String> rest = new ArrayList<>();
    holdings
        .all()
        .forEach(
            (runner, holding) -> {
              if (!holder.test(holding.host())
                  || nowMillis - holding.reportedMillis() > MAX_HOLDING_AGE_MILLIS) {
                return;
              }
              Set<String> key = changeKey(holding, nowMillis);
              if (key.equals(sentHoldings.put(runner, key))) {
                rest.add(runner);
              } else {
                addHolding(digest, runner, holding, nowMillis);
              }
            });
    int count = Math.min(repeatedHoldings, rest.size());
    for (int i = 0; i < count; i++) {
      String runner = rest.get(Math.floorMod(nextHolding++, rest.size()));
      holdings.find(runner).ifPresent(holding -> addHolding(digest, runner, holding, nowMillis));
    }
  }

  /**
   * Adds the requests and tokens in flight at each runner.
   *
   * @param withAdapters selects the runners for which the adapters in use are included: only the
   *     holders of these runners need them
   */
  static void addLoads(
      Digest.Builder digest, Map<String, FleetLoad.Use> sums, Predicate<String> withAdapters) {
    digest.setLoadsTold(true);
    sums.forEach(
        (runner, use) ->
            digest.addLoads(StateCodec.encodeLoad(runner, use, withAdapters.test(runner))));
  }

  static void addReport(Digest.Builder digest, Member<HostState> member, long nowMillis) {
    HostState state = member.state();
    if (state == null) {
      return;
    }
    HostState summary =
        state.toBuilder()
            .clearLoads()
            .clearHoldings()
            .clearGossip()
            .clearSpending()
            .clearLimits()
            .clearRefusalLimits()
            .clearLeavingRunners()
            .build();
    digest.addWords(
        HostWord.newBuilder()
            .setHost(member.host())
            .setIncarnation(member.incarnation())
            .setNumber(member.sequence())
            .setAgeMs((int) Math.max(0, nowMillis - member.lastSeenMillis()))
            .setState(summary));
  }

  private static void addHolding(
      Digest.Builder digest, String runner, Holdings.Holding holding, long nowMillis) {
    digest.addHoldings(
        HeldBy.newBuilder()
            .setHost(holding.host())
            .setHolding(StateCodec.encodeHolding(runner, holding, nowMillis)));
  }

  private static String changeKey(Member<HostState> member) {
    HostState state = member.state();
    return state == null
        ? ""
        : member.incarnation()
            + " "
            + state.getReady()
            + state.getLeaving()
            + state.getRunnersUnreachable()
            + state.getConfigEra()
            + "."
            + state.getConfigRevision()
            + " "
            + state.getRunnersEra()
            + "."
            + state.getRunnersRevision()
            + " "
            + state.getKeptRecords()
            + " "
            + state.getPermitIssuer();
  }

  private static Set<String> changeKey(Holdings.Holding holding, long nowMillis) {
    return holding.adapters().values().stream()
        .map(item -> item.target() + "@" + item.version() + (item.readyMillis() > nowMillis))
        .collect(Collectors.toSet());
  }
}
