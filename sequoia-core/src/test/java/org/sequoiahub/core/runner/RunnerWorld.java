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
 * Simulates two dispatchers that both consider themselves the owner of one runner, the engine, and
 * a network that delays, reorders and loses messages. Time is virtual; the decisions are made by
 * the production code.
 */
final class RunnerWorld {

  static final long AUTHORITY_MILLIS = 1_000;
  static final long ORDER_LIFETIME_MILLIS = 500;

  private static final int SLOTS = 1;
  private static final int BATCH = 2;
  private static final int GRANTERS = 3;
  private static final int MAX_MESSAGES_PER_ROUND = 500;
  private static final long DEADLINE_MILLIS = 90_000;
  private static final long STEP_MILLIS = 100;
  private static final int FAULT_FREE_ROUNDS = 25;
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
  private boolean checkDeadlines;

  RunnerWorld(boolean fenced) {
    this.fenced = fenced;
    this.engine = new EngineOracle(SLOTS, fenced);
    for (int i = 0; i < GRANTERS; i++) {
      granters.add(new LeaseGranter(0, AUTHORITY_MILLIS));
    }
    holders.add(new Holder("a"));
    holders.add(new Holder("b"));
    runWithoutFaults(0);
  }

  void advance(int millis) {
    now += millis;
    dropExpiredMessages();
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
    if (at.controller.offer(request, now) instanceof Admission.Rejected) {
      engine.recordNotRun(id);
    } else {
      at.performActions();
    }
  }

  void cancel(int holder, int request) {
    Holder at = holders.get(holder);
    String id = "r" + (1 + request % Math.max(1, lastRequest));
    if (!at.paused && at.controller.cancel(id)) {
      engine.recordNotRun(id);
    }
    at.performActions();
  }

  void tick(int holder) {
    holders.get(holder).tick();
  }

  void deliver(int index) {
    if (!network.isEmpty()) {
      network.remove(index % network.size()).onArrival.run();
    }
  }

  /** Loses a message. Its sender only learns that the connection was lost. */
  void loseMessage(int index) {
    if (!network.isEmpty()) {
      network.remove(index % network.size()).onLoss.run();
    }
  }

  /** Breaks the sender's connection while the message stays in transit. */
  void breakConnection(int index) {
    if (!network.isEmpty()) {
      Message message = network.get(index % network.size());
      message.onLoss.run();
      message.onLoss = () -> {};
      message.onAnswer = () -> {};
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
      sendStreamEnd(id, true);
    }
  }

  void coldRestart() {
    for (String id : engine.coldRestart()) {
      sendStreamEnd(id, false);
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

  /** Runs one dispatcher for a while without faults, so that every message arrives in order. */
  void runWithoutFaults(int holder) {
    holders.forEach(other -> other.paused = false);
    for (int round = 0; round < FAULT_FREE_ROUNDS; round++) {
      runRoundWithoutFaults(holder);
    }
  }

  /** Ends all faults and asserts that every request ends and no state remains uncertain. */
  void settle() {
    loadsFail = false;
    unloadsFail = false;
    holders.forEach(holder -> holder.paused = false);
    checkDeadlines = true;
    for (int round = 0; round < SETTLE_ROUNDS; round++) {
      // The host lists converge: the second dispatcher learns that it is not the owner.
      holders.get(1).handOver();
      runRoundWithoutFaults(0);
      finish(round);
    }
    for (Holder holder : holders) {
      assertWithMessage(
              "requests are still queued at %s: %s, %s",
              holder.name, holder.controller.slotStates(), holder.authority.rights(now))
          .that(holder.controller.queued())
          .isEqualTo(0);
      assertWithMessage(
              "state is still uncertain at %s: %s", holder.name, holder.controller.slotStates())
          .that(holder.controller.isSettled())
          .isTrue();
      assertWithMessage("requests still pin adapters at %s", holder.name)
          .that(holder.controller.running())
          .isEqualTo(0);
    }
    assertWithMessage("requests are still active in the engine")
        .that(engine.activeCount())
        .isEqualTo(0);
  }

  private void runRoundWithoutFaults(int holder) {
    advance((int) STEP_MILLIS);
    holders.get(holder).tick();
    for (int i = 0; i < MAX_MESSAGES_PER_ROUND && !network.isEmpty(); i++) {
      deliver(0);
    }
    assertWithMessage("messages are still in transit after a round").that(network).isEmpty();
  }

  /** Sends a stream's end to both dispatchers; without its end marker the outcome is uncertain. */
  private void sendStreamEnd(String id, boolean marker) {
    for (Holder holder : holders) {
      Runnable uncertain = holder.receiving(() -> holder.controller.requestUncertain(id, now));
      Runnable end = holder.receiving(() -> holder.controller.requestEnded(id, now));
      send(() -> {}, uncertain, marker ? end : uncertain);
    }
  }

  private void send(Runnable onArrival, Runnable onLoss, Runnable onAnswer) {
    Message message = new Message(now);
    message.onLoss = onLoss;
    message.onAnswer = onAnswer;
    message.onArrival =
        () -> {
          onArrival.run();
          network.add(message.reply());
        };
    network.add(message);
  }

  /** Drops messages that are older than the order lifetime. */
  private void dropExpiredMessages() {
    for (Message message : List.copyOf(network)) {
      if (now - message.sentMillis >= ORDER_LIFETIME_MILLIS) {
        network.remove(message);
        message.onLoss.run();
      }
    }
  }

  private final class Message {
    private final long sentMillis;
    private Runnable onArrival = () -> {};
    private Runnable onLoss = () -> {};
    private Runnable onAnswer = () -> {};

    Message(long sentMillis) {
      this.sentMillis = sentMillis;
    }

    /** Returns the answer, which is sent on the same connection and may be lost with it. */
    Message reply() {
      Message reply = new Message(now);
      reply.onArrival = () -> onAnswer.run();
      reply.onLoss = onLoss;
      return reply;
    }
  }

  /** A dispatcher that owns or claims the runner. */
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
    private @Nullable Long reportRequestedMillis;

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
      requestReport();
      performActions();
    }

    private void requestReport() {
      if (reportRequestedMillis == null) {
        long sent = now;
        reportRequestedMillis = sent;
        EngineReport[] report = new EngineReport[1];
        send(
            () -> report[0] = engine.report(now),
            () -> reportRequestedMillis = null,
            receiving(
                () -> {
                  reportRequestedMillis = null;
                  // Uses the time of the query, as the sample is certainly not older.
                  EngineReport dated =
                      new EngineReport(sent, report[0].resident(), Set.of(), report[0].active());
                  controller.applyReport(dated, authority.rights(now), now);
                }));
      }
    }

    void handOver() {
      authority.release();
      requestReport();
      controller.rejectQueued("moved", "another dispatcher owns the runner", 1);
      performActions();
    }

    void performActions() {
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
      } else if (action instanceof RunnerAction.Reject refuse) {
        engine.recordNotRun(refuse.request().id());
        boolean late = refuse.verdict().reason().equals("deadline-passed");
        assertWithMessage("queued until the deadline passed: %s", refuse.request())
            .that(late && checkDeadlines)
            .isFalse();
      } else if (action instanceof RunnerAction.CancelRunning cancel) {
        String id = cancel.request().id();
        boolean[] known = new boolean[1];
        send(
            () -> known[0] = engine.cancel(id),
            receiving(() -> controller.requestUncertain(id, now)),
            receiving(
                () -> {
                  if (known[0]) {
                    controller.requestEnded(id, now);
                  } else {
                    controller.requestUncertain(id, now);
                  }
                }));
      } else if (action instanceof RunnerAction.RequestLoadTurn ask) {
        controller.loadTurnGranted(ask.adapter());
        performActions();
      } else if (action instanceof RunnerAction.Load load) {
        order(load.adapter(), true);
      } else if (action instanceof RunnerAction.Unload unload) {
        order(unload.adapter(), false);
      }
    }

    private void start(RunnerRequest request) {
      starting.put(request.id(), false);
      boolean[] accepted = new boolean[1];
      send(
          () -> accepted[0] = engine.start(request),
          receiving(() -> controller.requestUncertain(request.id(), now)),
          receiving(
              () -> {
                if (!accepted[0]) {
                  engine.recordNotRun(request.id());
                  controller.requestEnded(request.id(), now);
                } else if (!engine.isActive(request.id())) {
                  controller.requestEnded(request.id(), now);
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
          receiving(() -> orderAnswered(adapter, load, OrderResult.UNKNOWN)),
          receiving(
              () -> {
                if (fencedOff[0] && authority instanceof FencedAuthority own) {
                  own.fencingNumberRefused(number, engine.highestFencing(), now);
                }
                orderAnswered(adapter, load, result[0]);
              }));
    }

    private void orderAnswered(AdapterVersion adapter, boolean load, OrderResult result) {
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
            receiving(
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
              receiving(
                  () -> {
                    if (granted[0]) {
                      own.claimGranted("g" + granter, sent, now);
                    }
                  }));
        }
      }
    }

    /**
     * Returns the handler of a received message. A paused process handles the message after it
     * resumes; a dead one ignores it.
     */
    private Runnable receiving(Runnable work) {
      return new Runnable() {
        @Override
        public void run() {
          if (dead) {
            return;
          }
          if (paused) {
            Message later = new Message(now + ORDER_LIFETIME_MILLIS);
            later.onArrival = this;
            later.onLoss = this;
            network.add(later);
            return;
          }
          work.run();
          performActions();
        }
      };
    }
  }
}
