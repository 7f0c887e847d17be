package org.sequoiahub.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The host list as published at one revision.
 *
 * @param revision the list's revision; a higher one replaces a lower one, never the reverse
 * @param hosts the entry hosts
 * @param runners the runners, each one engine
 * @param upstreams the upstreams of plain services
 */
public record Fleet(
    long revision, List<Host> hosts, List<Runner> runners, List<ServiceUpstream> upstreams) {

  /** The list before any was read. */
  public static final Fleet EMPTY = new Fleet(0, List.of(), List.of(), List.of());

  /** Copies the lists. */
  public Fleet {
    hosts = List.copyOf(hosts);
    runners = List.copyOf(runners);
    upstreams = List.copyOf(upstreams);
  }

  /** Whether something may be given new work. */
  public enum State {
    /** In use. */
    LIVE,
    /** About to go: no new work. */
    LEAVING
  }

  /**
   * One entry host.
   *
   * @param id its name
   * @param address its IP number
   * @param failureDomain its failure domain
   * @param state whether it may be given new work
   * @param entryPort the callers' HTTP port
   * @param dispatcherPort the dispatcher's port
   * @param watcherPort the watcher's port
   */
  public record Host(
      String id,
      String address,
      String failureDomain,
      State state,
      int entryPort,
      int dispatcherPort,
      int watcherPort) {}

  /**
   * One runner.
   *
   * @param id its name
   * @param address host:port of the engine
   * @param failureDomain its failure domain
   * @param state whether it may be given new work
   * @param baseModel the base model that it serves
   * @param slots how many adapter versions it holds at once
   * @param batch how many requests it runs at once
   * @param checksFencing whether it refuses orders with an old fencing number
   */
  public record Runner(
      String id,
      String address,
      String failureDomain,
      State state,
      String baseModel,
      int slots,
      int batch,
      boolean checksFencing) {}

  /**
   * One upstream of a plain service.
   *
   * @param id its name
   * @param service the service's name
   * @param address host:port
   * @param failureDomain its failure domain
   * @param state whether it may be given new work
   */
  public record ServiceUpstream(
      String id, String service, String address, String failureDomain, State state) {}

  /** Returns the host named {@code id}. */
  public Optional<Host> host(String id) {
    return hosts.stream().filter(host -> host.id().equals(id)).findFirst();
  }

  /** Returns the runner named {@code id}. */
  public Optional<Runner> runner(String id) {
    return runners.stream().filter(runner -> runner.id().equals(id)).findFirst();
  }

  /** Returns the hosts that may be given new work. */
  public List<Host> liveHosts() {
    return hosts.stream().filter(host -> host.state() == State.LIVE).toList();
  }

  /** Returns the runners by name. */
  public Map<String, Runner> runnersById() {
    return runners.stream().collect(Collectors.toMap(Runner::id, Function.identity()));
  }

  /** Returns the runners of a base model that may be given new work. */
  public List<Runner> livePool(String baseModel) {
    return runners.stream()
        .filter(r -> r.state() == State.LIVE && r.baseModel().equals(baseModel))
        .toList();
  }
}
