package org.sequoiahub.node.call;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.retry.RetryAccount;
import org.sequoiahub.core.retry.RetryBudgetSettings;
import org.sequoiahub.core.retry.SharedRetryBudget;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.routing.WeightedService;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.core.workspace.HashedKey;
import org.sequoiahub.core.workspace.Workspaces;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.caller.StubExchange;
import org.sequoiahub.node.forward.ForwardListener;
import org.sequoiahub.node.forward.ForwardOutcome;
import org.sequoiahub.node.forward.HostSelector;
import org.sequoiahub.node.forward.RequestForwarder;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/**
 * Guards against a request that runs more often than its route allows, or is said not to have run
 * although it may have, as it is passed on to hosts that restart, are cut off or answer anything.
 */
class RequestForwardingTest {

  private static final int MAX_ATTEMPTS = 2;
  private static final long DEADLINE_MILLIS = 1_000;

  /** What becomes of one request at other hosts that are drawn to fail. */
  private static final class Simulation {
    private final Random random;
    private final RepeatPolicy policy;
    private final int hostCount;
    private final List<String> usedHosts = new ArrayList<>();
    private final Call call;
    private final RequestForwarding forwarding;
    private int possibleRuns;
    private int endings;
    private int answeredStatus;
    private boolean refused;
    private long now = 100;

    Simulation(long seed, RepeatPolicy policy, int hostCount, boolean fromOtherHost) {
      this.random = new Random(seed);
      this.policy = policy;
      this.hostCount = hostCount;
      Route route =
          new Route(
              "r",
              "h.example",
              "/p/",
              policy,
              DEADLINE_MILLIS,
              100,
              1,
              List.of(new WeightedService("s", 1)),
              MAX_ATTEMPTS,
              0,
              true);
      RoutingTable table =
          new RoutingTable(1, List.of(route), List.of(), CallerLimits.UNKNOWN, Workspaces.NONE);
      SharedRetryBudget budget =
          new SharedRetryBudget(new RetryBudgetSettings(0.2, 50, 10_000), 0, true);
      this.call =
          new Call(
              new Exchange(fromOtherHost),
              new CallerHeaders("q", DEADLINE_MILLIS, null, "", "", HashedKey.NONE),
              new Admission.Permitted(table, route, null),
              "s",
              new RetryAccount(budget, "s"),
              now,
              now + DEADLINE_MILLIS);
      this.forwarding =
          new RequestForwarding(
              this::select,
              this::forward,
              new Endings(),
              Runnable::run,
              () -> now,
              new MetricRegistry(),
              new EventLog("test", "host-0"));
    }

    private Optional<HostSelector.Host> select(Set<String> excluded, long nowMillis) {
      return java.util.stream.IntStream.range(0, hostCount)
          .mapToObj(number -> "host-" + number)
          .filter(name -> !excluded.contains(name))
          .findFirst()
          .map(name -> new HostSelector.Host(name, "ip-" + name));
    }

    private RequestForwarder.Forwarded forward(
        CallerExchange exchange,
        String ip,
        long remainingMillis,
        int priorRuns,
        String lastEventId,
        @Nullable SoftwareVersion streamVersion,
        ForwardListener listener) {
      assertThat(remainingMillis).isAtMost(DEADLINE_MILLIS - (now - 100));
      assertWithMessage("runs that the other host is told of")
          .that(priorRuns)
          .isEqualTo(possibleRuns);
      assertThat(usedHosts).doesNotContain(ip);
      usedHosts.add(ip);
      now += 10;
      pending = listener;
      return () -> pending = null;
    }

    private @Nullable ForwardListener pending;

    /** Runs the request until it has ended. */
    void run() {
      forwarding.forward(call, now);
      while (pending != null) {
        ForwardListener listener = pending;
        pending = null;
        listener.ended(drawOutcome());
      }
    }

    private ForwardOutcome drawOutcome() {
      switch (random.nextInt(5)) {
        case 0 -> {
          possibleRuns++;
          return new ForwardOutcome.Lost("connection lost", true);
        }
        case 1 -> {
          return new ForwardOutcome.Lost("not connected", false);
        }
        case 2 -> {
          int status = random.nextBoolean() ? 503 : 404;
          return new ForwardOutcome.Answered(status, HttpFields.EMPTY, new byte[0], true);
        }
        case 3 -> {
          possibleRuns++;
          return new ForwardOutcome.Answered(502, HttpFields.EMPTY, new byte[0], false);
        }
        default -> {
          possibleRuns++;
          return new ForwardOutcome.Answered(200, HttpFields.EMPTY, new byte[0], false);
        }
      }
    }

    void check() {
      assertWithMessage("endings of the request").that(endings).isEqualTo(1);
      assertThat(possibleRuns).isAtMost(policy.allowsRerun() ? MAX_ATTEMPTS : 1);
      boolean saidNotRun = refused || CallerExchange.guaranteesNotRun(answeredStatus);
      if (saidNotRun) {
        assertWithMessage("runs of a request that is said not to have run")
            .that(possibleRuns)
            .isEqualTo(0);
      }
      assertWithMessage("a rejection by another host's configuration reached the caller")
          .that(answeredStatus)
          .isNotEqualTo(404);
    }

    private final class Endings implements RequestForwarding.CallEndings {
      @Override
      public void place(Call placed, long nowMillis) {
        forwarding.forward(placed, nowMillis);
      }

      @Override
      public void fail(Call failed, String reason, long retryAfterMillis) {
        refused = failed.sends.verdict() instanceof Verdict.NotRun;
        assertThat(retryAfterMillis).isAtLeast(0);
        endings++;
        failed.done = true;
      }

      @Override
      public void finish(Call finished, int status, String reason, long nowMillis) {
        endings++;
        finished.done = true;
      }

      @Override
      public void succeeded(Call succeeded, long nowMillis) {
        assertThat(possibleRuns).isAtLeast(1);
      }
    }

    private final class Exchange extends StubExchange {
      private final boolean fromOtherHost;

      Exchange(boolean fromOtherHost) {
        super("POST", "/p/q", HttpFields.EMPTY, new byte[0]);
        this.fromOtherHost = fromOtherHost;
      }

      @Override
      public @Nullable Forwarding forwarding() {
        return fromOtherHost ? new Forwarding("10.0.0.1", 0, null) : null;
      }

      @Override
      public void respond(int status, HttpFields headers, byte[] content) {
        answeredStatus = status;
      }
    }
  }

  @BeforeTry
  void silenceLogging() {
    Logger.getLogger("org.sequoiahub").setLevel(Level.OFF);
  }

  @Property(tries = 2_000, seed = "20261219")
  void requestKeepsItsPromisesWhateverOtherHostsDo(
      @ForAll RepeatPolicy policy,
      @ForAll @IntRange(min = 0, max = 6) int hosts,
      @ForAll long seed) {
    Simulation simulation = new Simulation(seed, policy, hosts, false);
    simulation.run();
    simulation.check();
    assertThat(simulation.usedHosts.size()).isAtMost(3);
  }

  @Property(tries = 100, seed = "20261221")
  void requestOfAnotherHostIsNotPassedOnAgain(@ForAll RepeatPolicy policy, @ForAll long seed) {
    Simulation simulation = new Simulation(seed, policy, 5, true);
    simulation.run();
    simulation.check();
    assertThat(simulation.usedHosts).isEmpty();
    assertThat(simulation.refused).isTrue();
  }
}
