package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Runs stand-ins for all services of the platform in one process. */
public final class Standins implements AutoCloseable {

  private static final String[] FAILURE_DOMAINS = {"d1", "d2", "d3", "d4"};

  private final WeightStoreStandin weightStore;
  private final ConfigurationStandin configuration;
  private final HostListStandin hostList;
  private final List<StandinServer> upstreamServers = new ArrayList<>();

  /**
   * Starts a configuration service, a host list and a weight store.
   *
   * @param portBase the first of three consecutive ports; 0 selects free ports
   * @param hostLagMillis the delay, in milliseconds, until readers see a change of the host list
   * @param loadsPerSecond the number of loads that the weight store starts per second
   */
  public Standins(int portBase, long hostLagMillis, int loadsPerSecond) throws Exception {
    configuration = new ConfigurationStandin(portBase);
    hostList = new HostListStandin(portBase == 0 ? 0 : portBase + 1, hostLagMillis);
    weightStore = new WeightStoreStandin(portBase == 0 ? 0 : portBase + 2, loadsPerSecond);
    configuration.start();
    hostList.start();
    weightStore.start();
  }

  /** Starts an engine and adds it to the host list as a live runner of {@code baseModel}. */
  public EngineStandin startEngine(EngineOptions options, String baseModel) throws Exception {
    EngineStandin engine = new EngineStandin(options, weightStore);
    engine.start();
    upstreamServers.add(engine);
    ObjectNode item = item(options.id(), engine.address(), upstreamServers.size());
    item.put("base_model", baseModel);
    item.put("slots", options.slots()).put("batch", options.batchSize());
    item.put("checks_fencing", options.checksFencing());
    hostList.add("runners", item);
    return engine;
  }

  /** Starts an upstream of a plain service and adds it to the host list. */
  public ServiceStandin startService(String id, String service, int port) throws Exception {
    ServiceStandin upstream = new ServiceStandin(id, port);
    upstream.start();
    upstreamServers.add(upstream);
    ObjectNode item = item(id, upstream.address(), upstreamServers.size());
    hostList.add("upstreams", item.put("service", service));
    return upstream;
  }

  /**
   * Adds an entry host to the host list, without starting its processes.
   *
   * @param number selects the failure domain, in rotation
   */
  public void addHost(String id, int entryPort, int dispatcherPort, int watcherPort, int number) {
    ObjectNode item = item(id, "127.0.0.1", number);
    item.put("entry_port", entryPort);
    item.put("dispatcher_port", dispatcherPort);
    item.put("watcher_port", watcherPort);
    hostList.add("hosts", item);
  }

  /** Returns the configuration service. */
  public ConfigurationStandin configuration() {
    return configuration;
  }

  /** Returns the host list. */
  public HostListStandin hostList() {
    return hostList;
  }

  /**
   * Returns the addresses of the configuration service, the host list and the weight store, in this
   * order.
   */
  public List<String> addresses() {
    return List.of(configuration.address(), hostList.address(), weightStore.address());
  }

  @Override
  public void close() throws Exception {
    for (StandinServer server : upstreamServers) {
      server.close();
    }
    weightStore.close();
    hostList.close();
    configuration.close();
  }

  private static ObjectNode item(String id, String address, int number) {
    ObjectNode item = StandinServer.MAPPER.createObjectNode();
    item.put("id", id).put("address", address).put("state", "live");
    return item.put("failure_domain", FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]);
  }
}
