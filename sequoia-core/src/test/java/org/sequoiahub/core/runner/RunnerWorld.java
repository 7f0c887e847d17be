package org.sequoiahub.core.runner;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.Authority;
import org.sequoiahub.core.authority.FencedAuthority;
import org.sequoiahub.core.authority.LeaseGranter;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;

/**
 * Two dispatchers that both believe they own one runner, the engine, and a network that delays,
 * reorders, loses and duplicates. Time is virtual; the decisions are the real ones.
 */
final class RunnerWorld {

  static final long AUTHORITY_MILLIS = 1_000;
  static final long ORDER_LIFETIME_MILLIS = 500;

  private static final int SLOTS = 1;
  private static final int BATCH = 2;
  private static final int GRANTERS = 3;
  private static final int MESSAGES_PER_ROUND = 500;
  private static final long DEADLINE_MILLIS = 90_000;
  private static final long CALM_STEP_MILLIS = 100;
  private static final int CALM_ROUNDS = 25;
  private static final int SETTLE_ROUNDS = 300;
  private static final PolicySettings POLICY =
      new PolicySettings(16, 300, 400, ORDER_LIFETIME_MILLIS, DEADLINE_MILLIS, true);

  private final boolean fenced;
  private final EngineOracle engine;
  private final List<LeaseGranter> granters = new ArrayList<>();
  private final List<Holder> holders = new ArrayList<>();
  private final List<Message> network = new ArrayList<>();
  private long now = 10_000;
  private int lastRequest;
  private int lastTag;
  private boolean loadsFail;
  private boolean unloadsFail;
  private boolean deadlinesCount;

  RunnerWorld(boolean fenced) {
    this.fenced = fenced;
    this.engine = new EngineOracle(SLOTS, fenced);
    for (int i = 0; i < GRANTERS; i++) {
      granters.add(new LeaseGranter(0, AUTHORITY_MILLIS));
    }
    holders.add(new Holder("a"));
    holders.add(new Holder("b"));
    calm(0);
  }

  void pass(int millis) {
    now += millis;
    expireMessages();
  }

  void offer(int holder, int adapter, boolean brief) {
    Holder at = holders.get(holder);
    String id = "r" + ++lastRequest;
    RunnerRequest request =
        new RunnerRequest(
            id,
            new AdapterVersion("a" + adapter, "1"),
            brief ? Priority.BRIEF : Priority.INTERACTIVE,
            now + DEADLINE_MILLIS);
    if (at.paused) {
      return;
    }
    if (at.controller.offer(request, now) instanceof Admission.Refused) {
      engine.toldNotRun(id);
    } else {
      at.settle();
    }
  }

  void cancel(int holder, int request) {
    Holder at = holders.get(holder);
    String id = "r" + (1 + request % Math.max(1, lastRequest));
    if (!at.paused && at.controller.cancel(id)) {
      engine.toldNotRun(id);
    }
    at.settle();
  }

  void tick(int holder) {
    holders.get(holder).tick();
  }

  void deliver(int index) {
    if (!network.isEmpty()) {
      network.remove(index % network.size()).arrive.run();
    }
  }

  /** Loses a message: its sender learns only that the connection is gone. */
  void lose(int index) {
    if (!network.isEmpty()) {
      network.remove(index % network.size()).lost.run();
    }
  }

  /** The sender gives the connection up, but the message is still on its way. */
  void breakConnection(int index) {
    if (!network.isEmpty()) {
      Message message = network.get(index % network.size());
      message.lost.run();
      message.lost = () -> {};
      message.answer = () -> {};
    }
  }

  void pause(int holder) {
    holders.get(holder).paused = true;
  }

  void wake(int holder) {
    holders.get(holder).paused = false;
  }

  void kill(int holder) {
    Holder dead = holders.get(holder);
    dead.dead = true;
    holders.set(holder, new Holder(dead.name + "'"));
  }

  void finish(int n) {
    for (String id : engine.finish(n)) {
      streamsEnd(id, true);
    }
  }

  void coldRestart() {
    for (String id : engine.coldRestart()) {
      streamsEnd(id, false);
    }
  }

  void loadsFail(boolean fail) {
    loadsFail = fail;
  }

  void unloadsFail(boolean fail) {
    unloadsFail = fail;
  }

  void restartGranter(int n) {
    granters.set(n % GRANTERS, new LeaseGranter(now, AUTHORITY_MILLIS));
  }

  /** A while without faults: time passes, one dispatcher works, every message arrives in order. */
  void calm(int holder) {
    holders.forEach(other -> other.paused = false);
    for (int round = 0; round < CALM_ROUNDS; round++) {
      calmRound(holder);
    }
  }

  /** Ends all faults and lets time pass: everything must end, and nothing stay in doubt. */
  void settleDown() {
    loadsFail = false;
    unloadsFail = false;
    holders.forEach(holder -> holder.paused = false);
    deadlinesCount = true;
    for (int round = 0; round < SETTLE_ROUNDS; round++) {
      // The host list settles: the second dispatcher learns that it is not the owner.
      holders.get(1).handOver();
      calmRound(0);
      finish(round);
    }
    for (Holder holder : holders) {
      assertWithMessage(
              "queued for ever at %s: %s, %s",
              holder.name, holder.controller.slotStates(), holder.authority.rights(now))
          .that(holder.controller.queued())
          .isEqualTo(0);
      assertWithMessage("in doubt for ever at %s: %s", holder.name, holder.controller.slotStates())
          .that(holder.controller.isSettled())
          .isTrue();
      assertWithMessage("pins leaked at %s", holder.name)
          .that(holder.controller.running())
          .isEqualTo(0);
    }
    assertWithMessage("engine still runs").that(engine.activeCount()).isEqualTo(0);
  }

  private void calmRound(int holder) {
    pass((int) CALM_STEP_MILLIS);
    holders.get(holder).tick();
    for (int i = 0; i < MESSAGES_PER_ROUND && !network.isEmpty(); i++) {
      deliver(0);
    }
    assertWithMessage("a message storm").that(network).isEmpty();
  }

  /** A stream's end travels to whoever reads it; without its marker the reader is in doubt. */
  private void streamsEnd(String id, boolean marker) {
    for (Holder holder : holders) {
      Runnable doubt = holder.heard(() -> holder.controller.uncertain(id, now));
      Runnable end = holder.heard(() -> holder.controller.ended(id, now));
      send(() -> {}, doubt, marker ? end : doubt);
    }
  }

  private void send(Runnable arrive, Runnable lost, Runnable answer) {
    Message message = new Message(now);
    message.lost = lost;
    message.answer = answer;
    message.arrive =
        () -> {
          arrive.run();
          network.add(message.reply());
        };
    network.add(message);
  }

  /** Nothing of a connection that was given up arrives after the order lifetime. */
  private void expireMessages() {
    for (Message message : List.copyOf(network)) {
      if (now - message.sentMillis >= ORDER_LIFETIME_MILLIS) {
        network.remove(message);
        message.lost.run();
      }
    }
  }

  private final class Message {
    private final long sentMillis;
    private Runnable arrive = () -> {};
    private Runnable lost = () -> {};
    private Runnable answer = () -> {};

    Message(long sentMillis) {
      this.sentMillis = sentMillis;
    }

    /** The answer travels back on the same connection; if that breaks, the sender is in doubt. */
    Message reply() {
      Message reply = new Message(now);
      reply.arrive = () -> answer.run();
      reply.lost = lost;
      return reply;
    }
  }

  /** One dispatcher, as far as this runner is concerned. */
  private final class Holder {
    private final String name;
    private final RunnerController controller = new RunnerController(SLOTS, BATCH, POLICY);
    private final Authority authority =
        fenced
            ? new FencedAuthority(AUTHORITY_MILLIS, ++lastTag)
            : new LeasedAuthority(AUTHORITY_MILLIS);
    private final Map<String, Boolean> starting = new HashMap<>();
    private boolean paused;
    private boolean dead;
    private @Nullable Long reportSent;

    Holder(String name) {
      this.name = name;
    }

    void tick() {
      if (paused) {
        return;
      }
      if (authority.claimDue(now)) {
        claim();
      }
      readReport();
      settle();
    }

    private void readReport() {
      if (reportSent == null) {
        long sent = now;
        reportSent = sent;
        EngineReport[] report = new EngineReport[1];
        send(
            () -> report[0] = engine.report(now),
            () -> reportSent = null,
            heard(
                () -> {
                  reportSent = null;
                  // Dated by the question: the sample is surely not older.
                  EngineReport dated =
                      new EngineReport(sent, report[0].resident(), Set.of(), report[0].active());
                  controller.reported(dated, authority.rights(now), now);
                }));
      }
    }

    void handOver() {
      authority.release();
      readReport();
      controller.refuseQueued("moved", "another dispatcher owns the runner", 1);
      settle();
    }

    void settle() {
      if (paused || dead) {
        return;
      }
      Rights rights = authority.rights(now);
      for (RunnerAction action : controller.decide(rights, now)) {
        perform(action);
      }
    }

    private void perform(RunnerAction action) {
      if (action instanceof RunnerAction.Start start) {
        start(start.request());
      } else if (action instanceof RunnerAction.Refuse refuse) {
        engine.toldNotRun(refuse.request().id());
        boolean late = refuse.verdict().reason().equals("deadline-passed");
        assertWithMessage("waited in vain: %s", refuse.request())
            .that(late && deadlinesCount)
            .isFalse();
      } else if (action instanceof RunnerAction.CancelRunning cancel) {
        String id = cancel.request().id();
        boolean[] known = new boolean[1];
        send(
            () -> known[0] = engine.cancel(id),
            heard(() -> controller.uncertain(id, now)),
            heard(
                () -> {
                  if (known[0]) {
                    controller.ended(id, now);
                  } else {
                    controller.uncertain(id, now);
                  }
                }));
      } else if (action instanceof RunnerAction.AskTurn ask) {
        controller.turnGranted(ask.adapter());
        settle();
      } else if (action instanceof RunnerAction.Load load) {
        order(load.adapter(), true);
      } else if (action instanceof RunnerAction.Unload unload) {
        order(unload.adapter(), false);
      }
    }

    private void start(RunnerRequest request) {
      starting.put(request.id(), false);
      boolean[] taken = new boolean[1];
      send(
          () -> taken[0] = engine.start(request),
          heard(() -> controller.uncertain(request.id(), now)),
          heard(
              () -> {
                if (!taken[0]) {
                  engine.toldNotRun(request.id());
                  controller.ended(request.id(), now);
                } else if (!engine.isActive(request.id())) {
                  controller.ended(request.id(), now);
                }
              }));
    }

    private void order(AdapterVersion adapter, boolean load) {
      long number = authority.fencingNumber();
      OrderResult[] result = new OrderResult[1];
      boolean[] fencedOff = new boolean[1];
      send(
          () -> {
            if (!engine.passesFencing(number)) {
              result[0] = OrderResult.FAILED;
              fencedOff[0] = true;
            } else if (load) {
              boolean done = !loadsFail && engine.load(adapter);
              result[0] = done ? OrderResult.DONE : OrderResult.FAILED;
            } else if (unloadsFail) {
              result[0] = OrderResult.FAILED;
            } else {
              engine.unload(adapter);
              result[0] = OrderResult.DONE;
            }
          },
          heard(() -> answered(adapter, load, OrderResult.UNKNOWN)),
          heard(
              () -> {
                if (fencedOff[0] && authority instanceof FencedAuthority own) {
                  own.fencingNumberRefused(number, engine.highestFencing(), now);
                }
                answered(adapter, load, result[0]);
              }));
    }

    private void answered(AdapterVersion adapter, boolean load, OrderResult result) {
      if (load) {
        controller.loadAnswered(adapter, result, now);
      } else {
        controller.unloadAnswered(adapter, result, now);
      }
    }

    private void claim() {
      long sent = now;
      if (authority instanceof FencedAuthority own) {
        long number = own.fencingNumber();
        own.claimSent(now);
        boolean[] passed = new boolean[1];
        long[] highest = new long[1];
        send(
            () -> {
              passed[0] = engine.passesFencing(number);
              highest[0] = engine.highestFencing();
            },
            () -> {},
            heard(
                () -> {
                  if (passed[0]) {
                    own.claimAccepted(number, sent, now);
                  } else {
                    own.fencingNumberRefused(number, highest[0], now);
                  }
                }));
      } else if (authority instanceof LeasedAuthority own) {
        own.updateGranters(Set.of("g0", "g1", "g2"), now);
        own.roundSent(now);
        for (int i = 0; i < GRANTERS; i++) {
          int granter = i;
          boolean[] granted = new boolean[1];
          send(
              () -> granted[0] = granters.get(granter).grant("runner", name, AUTHORITY_MILLIS, now),
              () -> {},
              heard(
                  () -> {
                    if (granted[0]) {
                      own.claimGranted("g" + granter, sent, now);
                    }
                  }));
        }
      }
    }

    /**
     * What arrives while the process is paused is handled after it wakes; a dead one hears none.
     */
    private Runnable heard(Runnable work) {
      return new Runnable() {
        @Override
        public void run() {
          if (dead) {
            return;
          }
          if (paused) {
            Message later = new Message(now + ORDER_LIFETIME_MILLIS);
            later.arrive = this;
            later.lost = this;
            network.add(later);
            return;
          }
          work.run();
          settle();
        }
      };
    }
  }
}
