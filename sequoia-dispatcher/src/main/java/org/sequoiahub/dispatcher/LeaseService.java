package org.sequoiahub.dispatcher;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sequoiahub.core.authority.LeaseGranter;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.LeaseAnswer;
import org.sequoiahub.schema.wire.LeaseCall;
import org.sequoiahub.wire.CallListener;
import org.sequoiahub.wire.WireClient;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;

/** Grants runner leases to other dispatchers and requests them for the runners of this one. */
final class LeaseService {

  private final DispatcherSettings settings;
  private final String holder;
  private final WireClients clients;
  private final Consumer<DispatcherEvent> events;
  private final LeaseGranter granter;
  private Fleet fleet = Fleet.EMPTY;

  LeaseService(
      DispatcherSettings settings,
      String holder,
      WireClients clients,
      Consumer<DispatcherEvent> events,
      long startedMillis) {
    this.settings = settings;
    this.holder = holder;
    this.clients = clients;
    this.events = events;
    this.granter = new LeaseGranter(startedMillis, settings.getAuthorityMs());
  }

  void fleet(Fleet next) {
    fleet = next;
  }

  /** Grants or releases a lease as another dispatcher requests. */
  void handleLeaseCall(WireConnection connection, long call, LeaseCall message, long nowMillis) {
    if (message.getRelease()) {
      granter.release(message.getRunner(), message.getHolder());
      return;
    }
    long duration = Math.min(message.getDurationMs(), settings.getAuthorityMs());
    boolean granted = granter.grant(message.getRunner(), message.getHolder(), duration, nowMillis);
    LeaseAnswer answer = LeaseAnswer.newBuilder().setGranted(granted).build();
    connection.send(call, Envelope.newBuilder().setLeaseAnswer(answer));
  }

  /** Starts one claim round: requests leases on a runner from the hosts that are to be asked. */
  void claim(String runner, LeasedAuthority authority, long nowMillis) {
    authority.updateGranters(hostIds(), nowMillis);
    authority.roundSent(nowMillis);
    for (String host : authority.hostsToAsk(nowMillis)) {
      if (host.equals(settings.getHostId())) {
        if (granter.grant(runner, holder, settings.getAuthorityMs(), nowMillis)) {
          authority.claimGranted(host, nowMillis, nowMillis);
        }
      } else {
        requestLease(runner, host, nowMillis);
      }
    }
  }

  /** Releases the leases on a runner, so that its next owner need not wait for them to expire. */
  void release(String runner) {
    granter.release(runner, holder);
    LeaseCall release = newLeaseCall(runner).setRelease(true).build();
    for (Host host : fleet.hosts()) {
      if (!host.id().equals(settings.getHostId())) {
        client(host).sendOneWay(Envelope.newBuilder().setLease(release));
      }
    }
  }

  private void requestLease(String runner, String hostId, long nowMillis) {
    Optional<Host> host = fleet.host(hostId);
    if (host.isEmpty()) {
      return;
    }
    WireClient client = client(host.get());
    client.call(
        Envelope.newBuilder().setLease(newLeaseCall(runner)),
        new LeaseListener(client, runner, hostId, nowMillis));
  }

  private LeaseCall.Builder newLeaseCall(String runner) {
    return LeaseCall.newBuilder()
        .setRunner(runner)
        .setHolder(holder)
        .setDurationMs(settings.getAuthorityMs());
  }

  private WireClient client(Host host) {
    return clients.clientOf(new Endpoint(host.address(), host.dispatcherPort()));
  }

  private Set<String> hostIds() {
    return fleet.hosts().stream().map(Host::id).collect(Collectors.toSet());
  }

  private final class LeaseListener implements CallListener {
    private final WireClient client;
    private final String runner;
    private final String host;
    private final long sentMillis;

    LeaseListener(WireClient client, String runner, String host, long sentMillis) {
      this.client = client;
      this.runner = runner;
      this.host = host;
      this.sentMillis = sentMillis;
    }

    @Override
    public void onMessage(Envelope message) {
      client.endCall(message.getCall());
      boolean granted = message.getLeaseAnswer().getGranted();
      events.accept(new DispatcherEvent.LeaseAnswered(runner, host, sentMillis, granted));
    }

    @Override
    public void onConnectionLost(boolean handedOn) {
      events.accept(new DispatcherEvent.LeaseAnswered(runner, host, sentMillis, false));
    }
  }
}
