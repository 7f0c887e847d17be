package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.usersplatform.standin.StandinRunner;

class ChangeCheckerTest {

  private static final ChangeChecker.Impairments NEVER = (host, from, until) -> false;
  private static final ChangeChecker.Impairments ALWAYS = (host, from, until) -> true;

  private final ChangeChecker checker = new ChangeChecker();

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** A host answers a request for a route that is new in a configuration. */
  @Nested
  class NewRoute {

    private List<String> violations(int status, ChangeChecker.Impairments impairments) {
      checker.addAnswer(new ChangeChecker.Answer("host-0", 7, nanos(1_000), nanos(5_010), status));
      return checker.violations(List.of(), impairments);
    }

    @Test
    void thatIsNotKnownIsFound() {
      assertThat(violations(404, NEVER)).hasSize(1);
    }

    @Test
    void thatIsKnownIsAllowed() {
      assertThat(violations(200, NEVER)).isEmpty();
      assertThat(violations(503, NEVER)).isEmpty();
    }

    @Test
    void mayBeUnknownToHostsOutOfTouch() {
      assertThat(violations(404, ALWAYS)).isEmpty();
    }
  }

  /** A runner stated in the store at 1 s that it leaves. */
  @Nested
  class LeavingRunner {

    private StandinRunner runner;

    @BeforeEach
    void open() throws Exception {
      runner = new StandinRunner("i-1", "plain", "", 1);
      checker.addLeaving(new ChangeChecker.Leaving(runner, nanos(1_000)));
    }

    @AfterEach
    void close() throws Exception {
      runner.close();
    }

    private List<String> violations(
        long sentMillis, long startedMillis, ChangeChecker.Impairments impairments) {
      runner
          .runRecords()
          .add(new StandinRunner.Run("q1", nanos(startedMillis), new AtomicInteger()));
      RequestResult result =
          new RequestResult(
              "q1",
              RequestResult.Kind.PLAIN,
              200,
              "",
              "",
              "host-0",
              Callers.DEADLINE_MILLIS,
              nanos(sentMillis),
              nanos(startedMillis + 100));
      return checker.violations(List.of(result), impairments);
    }

    @Test
    void thatIsSentRequestsAfterTheBoundIsFound() {
      assertThat(violations(5_100, 5_120, NEVER)).hasSize(1);
    }

    @Test
    void mayRunWhatWasSentBefore() {
      assertThat(violations(4_900, 5_300, NEVER)).isEmpty();
    }

    @Test
    void mayBeSentRequestsByHostsOutOfTouch() {
      assertThat(violations(5_100, 5_120, ALWAYS)).isEmpty();
    }
  }
}
