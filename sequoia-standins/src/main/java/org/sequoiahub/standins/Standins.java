package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A whole platform of stand-ins in one process. */
public final class Standins implements AutoCloseable {

  private static final String[] FAILURE_DOMAINS = {"d1", "d2", "d3", "d4"};

  private final WeightStoreStandin weightStore;
  private final ConfigurationStandin configuration;
  private final HostListStandin hostList;
  private final List<StandinServer> upstreamServers = new ArrayList<>();

  /**
   * Starts a configuration service, a host list and a weight store.
   *
   * @param portBase the first of their three ports; 0 picks ports
   * @param hostLagMillis by how much the host list lags
   * @param loadsPerSecond the weight store's rate
   */
  public Standins(int portBase, long hostLagMillis, int loadsPerSecond) throws Exception {
    configuration = new ConfigurationStandin(portBase);
    hostList = new HostListStandin(portBase == 0 ? 0 : portBase + 1, hostLagMillis);
    weightStore = new WeightStoreStandin(portBase == 0 ? 0 : portBase + 2, loadsPerSecond);
    configuration.start();
    hostList.start();
    weightStore.start();
  }

  /** Starts an engine and lists it as a live runner of {@code baseModel}. */
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

  /** Starts an upstream of a plain service and lists it. */
  public ServiceStandin startService(String id, String service, int port) throws Exception {
    ServiceStandin upstream = new ServiceStandin(id, port);
    upstream.start();
    upstreamServers.add(upstream);
    ObjectNode item = item(id, upstream.address(), upstreamServers.size());
    hostList.add("upstreams", item.put("service", service));
    return upstream;
  }

  /** Lists an entry host. */
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

  /** Returns the addresses of configuration service, host list and weight store. */
  public List<String> addresses() {
    return List.of(configuration.address(), hostList.address(), weightStore.address());
  }

  @Override
  public void close() throws Exception {
    for (StandinServer other : upstreamServers) {
      other.close();
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
