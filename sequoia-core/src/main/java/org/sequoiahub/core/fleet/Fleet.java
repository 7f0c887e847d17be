package org.sequoiahub.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Snapshot of the published host list at one revision.
 *
 * @param revision the list's revision; a list replaces only lists of lower revisions
 * @param hosts the entry hosts
 * @param runners the runners, one per engine
 * @param upstreams the upstreams of plain services
 */
public record Fleet(
    long revision, List<Host> hosts, List<Runner> runners, List<ServiceUpstream> upstreams) {

  /** The list in use before one has been read. */
  public static final Fleet EMPTY = new Fleet(0, List.of(), List.of(), List.of());

  /** Creates the list with immutable copies of its parts. */
  public Fleet {
    hosts = List.copyOf(hosts);
    runners = List.copyOf(runners);
    upstreams = List.copyOf(upstreams);
  }

  /** Whether a host, runner or upstream may receive new work. */
  public enum State {
    /** In service; receives new work. */
    LIVE,
    /** About to be removed; receives no new work. */
    LEAVING
  }

  /**
   * An entry host.
   *
   * @param id its unique name
   * @param address its IP address
   * @param failureDomain the name of its failure domain
   * @param state whether it may receive new work
   * @param entryPort the HTTP port for callers
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
   * A runner.
   *
   * @param id its unique name
   * @param address address of the engine, as host:port
   * @param failureDomain the name of its failure domain
   * @param state whether it may receive new work
   * @param baseModel the base model that it serves
   * @param slots how many adapter versions it can hold at once
   * @param batch how many requests it can run at once
   * @param checksFencing whether the engine refuses orders with an outdated fencing number
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
   * An upstream of a plain service.
   *
   * @param id its unique name
   * @param service the service's name
   * @param address its address, as host:port
   * @param failureDomain the name of its failure domain
   * @param state whether it may receive new work
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

  /** Returns the hosts that may receive new work. */
  public List<Host> liveHosts() {
    return hosts.stream().filter(host -> host.state() == State.LIVE).toList();
  }

  /** Returns the runners, keyed by name. */
  public Map<String, Runner> runnersById() {
    return runners.stream().collect(Collectors.toMap(Runner::id, Function.identity()));
  }

  /** Returns the runners of a base model that may receive new work. */
  public List<Runner> livePool(String baseModel) {
    return runners.stream()
        .filter(r -> r.state() == State.LIVE && r.baseModel().equals(baseModel))
        .toList();
  }
}
