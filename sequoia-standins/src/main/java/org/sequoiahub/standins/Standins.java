package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A whole platform of stand-ins in one process. */
public final class Standins implements AutoCloseable {

  private static final String[] DOMAINS = {"d1", "d2", "d3", "d4"};

  private final WeightStoreStandin weights;
  private final ConfigurationStandin configuration;
  private final HostListStandin hosts;
  private final List<StandinServer> others = new ArrayList<>();

  /**
   * Starts a configuration service, a host list and a weight store.
   *
   * @param portBase the first of their three ports; 0 picks ports
   * @param hostLagMillis by how much the host list lags
   * @param loadsPerSecond the weight store's rate
   */
  public Standins(int portBase, long hostLagMillis, int loadsPerSecond) throws Exception {
    configuration = new ConfigurationStandin(portBase);
    hosts = new HostListStandin(portBase == 0 ? 0 : portBase + 1, hostLagMillis);
    weights = new WeightStoreStandin(portBase == 0 ? 0 : portBase + 2, loadsPerSecond);
    configuration.start();
    hosts.start();
    weights.start();
  }

  /** Starts an engine and lists it as a live runner of {@code baseModel}. */
  public EngineStandin engine(EngineOptions options, String baseModel) throws Exception {
    EngineStandin engine = new EngineStandin(options, weights);
    engine.start();
    others.add(engine);
    ObjectNode item = item(options.id(), engine.address(), others.size());
    item.put("base_model", baseModel);
    item.put("slots", options.slots()).put("batch", options.batch());
    item.put("checks_fencing", options.checksFencing());
    hosts.add("runners", item);
    return engine;
  }

  /** Starts an upstream of a plain service and lists it. */
  public ServiceStandin service(String id, String service, int port) throws Exception {
    ServiceStandin upstream = new ServiceStandin(id, port);
    upstream.start();
    others.add(upstream);
    ObjectNode item = item(id, upstream.address(), others.size());
    hosts.add("upstreams", item.put("service", service));
    return upstream;
  }

  /** Lists an entry host. */
  public void host(String id, int entryPort, int dispatcherPort, int watcherPort, int number) {
    ObjectNode item = item(id, "127.0.0.1", number);
    item.put("entry_port", entryPort);
    item.put("dispatcher_port", dispatcherPort);
    item.put("watcher_port", watcherPort);
    hosts.add("hosts", item);
  }

  /** Returns the configuration service. */
  public ConfigurationStandin configuration() {
    return configuration;
  }

  /** Returns the host list. */
  public HostListStandin hosts() {
    return hosts;
  }

  /** Returns the addresses of configuration service, host list and weight store. */
  public List<String> addresses() {
    return List.of(configuration.address(), hosts.address(), weights.address());
  }

  @Override
  public void close() throws Exception {
    for (StandinServer other : others) {
      other.close();
    }
    weights.close();
    hosts.close();
    configuration.close();
  }

  private static ObjectNode item(String id, String address, int number) {
    ObjectNode item = StandinServer.MAPPER.createObjectNode();
    item.put("id", id).put("address", address).put("state", "live");
    return item.put("failure_domain", DOMAINS[number % DOMAINS.length]);
  }
}
