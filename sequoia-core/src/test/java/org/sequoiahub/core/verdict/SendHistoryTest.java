package org.sequoiahub.core.verdict;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SendHistoryTest {

  private static final Verdict NOT_RUN = new Verdict.NotRun("refused", "refused", 0);
  private static final Verdict RAN = new Verdict.Ran();
  private static final Verdict LOST = new Verdict.MayHaveRun("response-lost", "lost");

  /** Guards against a request that is reported as not run while one of its sends may have run. */
  @Property(seed = "70")
  void onlySendsThatAllEndedWithoutRunningAreNotRun(
      @ForAll @Size(max = 30) List<@IntRange(max = 4) Integer> actions,
      @ForAll @IntRange(max = 1) int priorRuns) {
    SendHistory history = new SendHistory(priorRuns);
    List<Integer> open = new ArrayList<>();
    Map<Integer, Verdict> ended = new HashMap<>();
    for (int action : actions) {
      if (action <= 1 || open.isEmpty()) {
        open.add(history.begin());
      } else {
        int number = open.remove(0);
        Verdict verdict = action == 2 ? NOT_RUN : action == 3 ? RAN : LOST;
        history.end(number, verdict);
        ended.put(number, verdict);
      }
      long runs = ended.values().stream().filter(verdict -> verdict != NOT_RUN).count();
      boolean notRun = priorRuns == 0 && open.isEmpty() && runs == 0;
      assertThat(history.verdict() instanceof Verdict.NotRun).isEqualTo(notRun);
      assertThat(history.possibleRuns()).isEqualTo(priorRuns + runs);
      assertThat(history.count()).isEqualTo(open.size() + ended.size());
    }
  }

  @Test
  void summaryNamesEachSend() {
    SendHistory history = new SendHistory(0);
    history.end(history.begin(), NOT_RUN);
    history.begin();
    assertThat(history.summary()).isEqualTo("1:refused 2:open");
  }

  /** Guards against a rejection whose evidence in the log is that nothing was sent. */
  @Test
  void evidenceIsTheVerdictOnTheLastSend() {
    SendHistory history = new SendHistory(0);
    assertThat(history.verdict()).isEqualTo(SendHistory.NEVER_SENT);
    history.end(history.begin(), NOT_RUN);
    assertThat(history.verdict()).isEqualTo(NOT_RUN);
  }

  @Test
  void sendEndsOnce() {
    SendHistory history = new SendHistory(0);
    int number = history.begin();
    history.end(number, LOST);
    assertThrows(IllegalStateException.class, () -> history.end(number, NOT_RUN));
  }
}
