package org.sequoiahub.node.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.allowance.SpendingReport;
import org.sequoiahub.core.call.Target;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.holding.ResidentAdapter;
import org.sequoiahub.core.quarantine.RunnerTermination;
import org.sequoiahub.core.ratelimit.LimitReport;
import org.sequoiahub.core.runnerstate.LeavingReport;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.schema.peer.AdapterDemand;
import org.sequoiahub.schema.peer.AdapterUse;
import org.sequoiahub.schema.peer.HeldAdapter;
import org.sequoiahub.schema.peer.Holding;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.LeavingRunner;
import org.sequoiahub.schema.peer.RunnerLimit;
import org.sequoiahub.schema.peer.RunnerLoad;
import org.sequoiahub.schema.peer.Spending;
import org.sequoiahub.schema.peer.WorkspaceSpending;

/** Converts between the messages that hosts exchange and the core's types. */
public final class StateCodec {

  /** Maximum number of spending slots that are accepted from one datagram. */
  private static final int MAX_SPENDING_SLOTS = 64;

  private StateCodec() {}

  /** Sets the positions of the newest records that a host knows. */
  public static void setPositions(
      HostState.Builder state, StorePosition operators, StorePosition runners) {
    state
        .setConfigEra(operators.era())
        .setConfigRevision(operators.revision())
        .setRunnersEra(runners.era())
        .setRunnersRevision(runners.revision());
  }

  /** Decodes a position; negative numbers, which no host sends, count as 0. */
  static StorePosition decodePosition(long era, long revision) {
    return new StorePosition(Math.max(0, era), Math.max(0, revision));
  }

  /**
   * Adds the requests that a host has in flight at each runner, with the number of requests that
   * use each adapter.
   */
  public static void addLoads(HostState.Builder state, Map<String, FleetLoad.Use> uses) {
    uses.forEach((runner, use) -> state.addLoads(encodeLoad(runner, use, true)));
  }

  /**
   * Encodes the load of requests that one source has in flight at a runner; this is not the loading
   * of adapters.
   *
   * @param withAdapters whether the number of requests that use each adapter is included
   */
  static RunnerLoad.Builder encodeLoad(String runner, FleetLoad.Use use, boolean withAdapters) {
    RunnerLoad.Builder load =
        RunnerLoad.newBuilder()
            .setRunner(runner)
            .setRequests(use.requests())
            .setUnreadTokens((int) Math.min(Integer.MAX_VALUE, use.unreadTokens()))
            .setHeldTokens((int) Math.min(Integer.MAX_VALUE, use.queuedTokens()));
    if (withAdapters) {
      use.adapters()
          .forEach(
              (adapter, count) ->
                  load.addAdapters(AdapterUse.newBuilder().setAdapter(adapter).setRequests(count)));
    }
    return load;
  }

  /** Decodes the loads in flight, by runner. */
  public static Map<String, FleetLoad.Use> decodeLoads(List<RunnerLoad> loads) {
    Map<String, FleetLoad.Use> uses = new HashMap<>();
    for (RunnerLoad load : loads) {
      Map<String, Integer> adapters = new HashMap<>();
      load.getAdaptersList().forEach(use -> adapters.put(use.getAdapter(), use.getRequests()));
      uses.put(
          load.getRunner(),
          new FleetLoad.Use(
              load.getRequests(), load.getUnreadTokens(), load.getHeldTokens(), adapters));
    }
    return uses;
  }

  /** Encodes the spending of allowances. */
  public static Spending encodeSpending(SpendingReport reported) {
    Spending.Builder message =
        Spending.newBuilder()
            .setNewestSlot(reported.newestSlot())
            .setSlots(reported.slotCount())
            .setAgoMs((int) reported.newestSlotAgeMillis())
            .setHosts(reported.hostCount());
    reported
        .spent()
        .forEach(
            (workspace, slots) ->
                message.addWorkspaces(
                    WorkspaceSpending.newBuilder().setWorkspace(workspace).addAllSpent(slots)));
    return message.build();
  }

  /** Decodes the spending of allowances. Slots beyond the number that hosts send are ignored. */
  static SpendingReport decodeSpending(Spending message) {
    Map<String, List<Long>> spent = new HashMap<>();
    message
        .getWorkspacesList()
        .forEach(workspace -> spent.put(workspace.getWorkspace(), workspace.getSpentList()));
    return new SpendingReport(
        message.getNewestSlot(),
        Math.max(0, Math.min(message.getSlots(), MAX_SPENDING_SLOTS)),
        Integer.toUnsignedLong(message.getAgoMs()),
        Math.max(1, message.getHosts()),
        spent);
  }

  /** Encodes which runners are known to leave. */
  static List<LeavingRunner> encodeLeaving(List<LeavingReport> reports) {
    return reports.stream()
        .map(
            report ->
                LeavingRunner.newBuilder()
                    .setRunner(report.runner())
                    .setAgeMs(report.ageMillis())
                    .build())
        .toList();
  }

  /** Decodes which runners another host knows to leave; invalid reports are left out. */
  static List<LeavingReport> decodeLeaving(List<LeavingRunner> messages) {
    return messages.stream()
        .filter(message -> !message.getRunner().isEmpty() && message.getAgeMs() >= 0)
        .map(message -> new LeavingReport(message.getRunner(), message.getAgeMs()))
        .toList();
  }

  /** Encodes what is known of the runners' limits. */
  static List<RunnerLimit> encodeLimits(List<LimitReport> reports) {
    return reports.stream()
        .map(
            report ->
                RunnerLimit.newBuilder()
                    .setRunner(report.runner())
                    .setPerSecond(report.perSecond())
                    .setSource(report.source())
                    .setSequence(report.sequence())
                    .setAgeMs(report.ageMillis())
                    .build())
        .toList();
  }

  /** Decodes what another host knows of the runners' limits; invalid reports are left out. */
  static List<LimitReport> decodeLimits(List<RunnerLimit> messages) {
    return messages.stream()
        .filter(
            limit ->
                !limit.getRunner().isEmpty() && limit.getPerSecond() >= 0 && limit.getAgeMs() >= 0)
        .map(
            limit ->
                new LimitReport(
                    limit.getRunner(),
                    limit.getPerSecond(),
                    limit.getSource(),
                    limit.getSequence(),
                    limit.getAgeMs()))
        .toList();
  }

  /** Encodes a runner's holdings. */
  public static Holding encodeHolding(String runner, Holdings.Holding holding, long nowMillis) {
    Holding.Builder message =
        Holding.newBuilder()
            .setRunner(runner)
            .setToken(holding.token())
            .setFreeSlots(holding.freePlaces())
            .setBringMs((int) holding.loadMillis())
            .setQueueMs((int) holding.queueMillis())
            .setOrdersInMs((int) Math.max(0, holding.mayOrderFromMillis() - nowMillis))
            .setKept(holding.warmCapacity())
            .addAllModels(holding.models());
    for (ResidentAdapter item : holding.adapters().values()) {
      message.addAdapters(
          HeldAdapter.newBuilder()
              .setAdapter(item.target())
              .setVersion(item.version())
              .setReadyInMs((int) Math.max(0, item.readyMillis() - nowMillis)));
    }
    return message.build();
  }

  /** Decodes the holdings in the state of their holder, by runner. */
  public static Map<String, Holdings.Holding> decodeHoldings(
      String host, HostState state, long nowMillis) {
    Map<String, Holdings.Holding> holdings = new HashMap<>();
    for (Holding message : state.getHoldingsList()) {
      holdings.put(message.getRunner(), decodeHolding(host, message, nowMillis));
    }
    return holdings;
  }

  /** Decodes a runner's holdings, as reported by its holder. */
  static Holdings.Holding decodeHolding(String host, Holding message, long nowMillis) {
    Map<String, ResidentAdapter> items = new HashMap<>();
    for (HeldAdapter adapter : message.getAdaptersList()) {
      items.put(
          adapter.getAdapter(),
          new ResidentAdapter(
              adapter.getAdapter(), adapter.getVersion(), nowMillis + adapter.getReadyInMs()));
    }
    return new Holdings.Holding(
        host,
        message.getToken(),
        nowMillis,
        items,
        new HashSet<>(message.getModelsList()),
        message.getFreeSlots(),
        message.getBringMs(),
        message.getQueueMs(),
        nowMillis + message.getOrdersInMs(),
        message.getKept());
  }

  /** Encodes the termination of a runner that was processing a request. */
  static org.sequoiahub.schema.peer.RunnerEnd encodeTermination(
      RunnerTermination termination, long nowMillis) {
    return org.sequoiahub.schema.peer.RunnerEnd.newBuilder()
        .setRequest(termination.request())
        .setRunner(termination.runner())
        .setStartedAgoMs((int) Math.max(0, nowMillis - termination.startedMillis()))
        .setEndedAgoMs((int) Math.max(0, nowMillis - termination.endedMillis()))
        .setBegun(termination.responseStarted())
        .setConfirmed(termination.confirmed())
        .setPartPosition(termination.partPosition())
        .setKnownGood(termination.knownGood())
        .build();
  }

  /**
   * Decodes the termination of a runner that was processing a request. A start after the end is
   * corrected to the end.
   */
  static RunnerTermination decodeTermination(
      org.sequoiahub.schema.peer.RunnerEnd message, long nowMillis) {
    long ended = nowMillis - Integer.toUnsignedLong(message.getEndedAgoMs());
    long started = nowMillis - Integer.toUnsignedLong(message.getStartedAgoMs());
    return new RunnerTermination(
        message.getRequest(),
        message.getRunner(),
        Math.min(started, ended),
        ended,
        message.getBegun(),
        message.getConfirmed(),
        Math.max(0, message.getPartPosition()),
        message.getKnownGood());
  }

  /** Encodes a demand for an adapter. */
  public static AdapterDemand encodeDemand(String runner, Demand demand) {
    return AdapterDemand.newBuilder()
        .setRunner(runner)
        .setAdapter(demand.target())
        .setWaiting(demand.waiting())
        .setInTime(demand.inTime())
        .setPriority(demand.priority())
        .build();
  }

  /** Decodes a demand for an adapter. */
  public static Demand decodeDemand(AdapterDemand demand) {
    String target = demand.getAdapter();
    return new Demand(
        Target.model(target),
        Target.adapter(target),
        demand.getWaiting(),
        demand.getInTime(),
        demand.getPriority());
  }
}
