package org.sequoiahub.dispatcher;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.load.LoadTurns;
import org.sequoiahub.core.placement.Placement;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.RunnerAction;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.LoadTurnAnswer;
import org.sequoiahub.schema.wire.LoadTurnCall;
import org.sequoiahub.wire.CallListener;
import org.sequoiahub.wire.WireClient;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;

/**
 * Requests turns to load from the weight store, and grants them if this dispatcher is the keeper.
 *
 * <p>One dispatcher, computed from the host list, grants the turns of the fleet. A dispatcher that
 * cannot reach the keeper falls back to its own share of the store's load rate.
 */
final class LoadTurnService {

  private final DispatcherSettings settings;
  private final WireClients clients;
  private final Consumer<DispatcherEvent> events;
  private final Counter fallbacks;
  private final LoadTurns<LoadTurnKey> fleetTurns;
  private final Map<LoadTurnKey, RemoteTurn> remoteTurns = new HashMap<>();
  private LoadTurns<LoadTurnKey> ownShare;
  private Fleet fleet = Fleet.EMPTY;

  LoadTurnService(
      DispatcherSettings settings,
      WireClients clients,
      Consumer<DispatcherEvent> events,
      MetricRegistry metrics) {
    this.settings = settings;
    this.clients = clients;
    this.events = events;
    this.fallbacks = metrics.counter("load_turns.fallbacks");
    this.fleetTurns = new LoadTurns<>(settings.getLoadsPerSecond(), 1, settings.getLoadTimeoutMs());
    this.ownShare = fleetTurns;
  }

  void fleet(Fleet next) {
    fleet = next;
    double share = (double) settings.getLoadsPerSecond() / Math.max(1, next.liveHosts().size());
    ownShare = new LoadTurns<>(share, 1, settings.getLoadTimeoutMs());
  }

  /** Requests a turn; a {@link DispatcherEvent.LoadTurnAnswered} reports the result. */
  void requestTurn(String runner, RunnerAction.RequestLoadTurn request, long nowMillis) {
    LoadTurnKey key = key(runner, request.adapter());
    Optional<Host> keeper = Placement.loadTurnKeeper(fleet);
    if (keeper.isEmpty() || keeper.get().id().equals(settings.getHostId())) {
      fleetTurns.request(key, request.waiting(), request.interactive(), nowMillis);
      return;
    }
    WireClient client =
        clients.clientOf(new Endpoint(keeper.get().address(), keeper.get().dispatcherPort()));
    LoadTurnCall call =
        LoadTurnCall.newBuilder()
            .setRunner(runner)
            .setAdapter(request.adapter().exactName())
            .setWaiting(request.waiting())
            .setInteractive(request.interactive())
            .build();
    long number =
        client.call(
            Envelope.newBuilder().setLoadTurn(call), new TurnListener(runner, request.adapter()));
    remoteTurns.put(key, new RemoteTurn(client, number));
  }

  /** Returns a granted turn, or withdraws the request for it. */
  void returnTurn(String runner, AdapterVersion adapter) {
    LoadTurnKey key = key(runner, adapter);
    fleetTurns.release(key);
    ownShare.release(key);
    RemoteTurn turn = remoteTurns.remove(key);
    if (turn != null) {
      LoadTurnCall done = LoadTurnCall.newBuilder().setDone(true).build();
      turn.client.send(turn.call, Envelope.newBuilder().setLoadTurn(done));
      turn.client.endCall(turn.call);
    }
  }

  /** Handles another dispatcher's request for a turn, or its return. */
  void handleLoadTurnCall(
      WireConnection connection, long call, LoadTurnCall message, long nowMillis) {
    if (message.getDone()) {
      fleetTurns.release(new LoadTurnKey(connection, call, "", ""));
      return;
    }
    LoadTurnKey key = new LoadTurnKey(connection, call, "", "");
    fleetTurns.request(key, message.getWaiting(), message.getInteractive(), nowMillis);
  }

  /**
   * Withdraws the turns and requests of a closed connection. A turn held by a dispatcher that is
   * gone would block every load of the fleet until it expires.
   */
  void connectionClosed(WireConnection connection) {
    fleetTurns.releaseIf(key -> connection.equals(key.connection()));
  }

  /** Requests a turn from this host's own share of the rate, as the keeper cannot be reached. */
  void fallBackToOwnShare(String runner, AdapterVersion adapter, long nowMillis) {
    LoadTurnKey key = key(runner, adapter);
    if (remoteTurns.remove(key) != null) {
      fallbacks.inc();
      ownShare.request(key, 1, true, nowMillis);
    }
  }

  void tick(long nowMillis) {
    fleetTurns.grant(nowMillis).forEach(this::reportGranted);
    if (ownShare != fleetTurns) {
      ownShare.grant(nowMillis).forEach(this::reportGranted);
    }
  }

  private void reportGranted(LoadTurnKey key) {
    if (key.connection() != null) {
      LoadTurnAnswer answer = LoadTurnAnswer.newBuilder().setGranted(true).build();
      key.connection().send(key.call(), Envelope.newBuilder().setLoadTurnAnswer(answer));
    } else {
      events.accept(
          new DispatcherEvent.LoadTurnAnswered(
              key.runner(), AdapterVersion.parse(key.adapter()), true));
    }
  }

  private static LoadTurnKey key(String runner, AdapterVersion adapter) {
    return new LoadTurnKey(null, 0, runner, adapter.exactName());
  }

  private record RemoteTurn(WireClient client, long call) {}

  private final class TurnListener implements CallListener {
    private final String runner;
    private final AdapterVersion adapter;

    TurnListener(String runner, AdapterVersion adapter) {
      this.runner = runner;
      this.adapter = adapter;
    }

    @Override
    public void onMessage(Envelope message) {
      events.accept(new DispatcherEvent.LoadTurnAnswered(runner, adapter, true));
    }

    @Override
    public void onConnectionLost(boolean handedOn) {
      events.accept(new DispatcherEvent.LoadTurnAnswered(runner, adapter, false));
    }
  }
}
