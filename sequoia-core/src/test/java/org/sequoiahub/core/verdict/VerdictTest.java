package org.sequoiahub.core.verdict;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sequoiahub.core.verdict.Verdict.MayHaveRun;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.core.verdict.Verdict.Ran;

class VerdictTest {

  @Property(tries = 500, seed = "20261207")
  void combinesToNotRunOnlyIfNoAttemptMayHaveRun(@ForAll("attempts") List<Verdict> attempts) {
    Verdict combined = attempts.stream().reduce(Verdict::combinedWith).orElseThrow();
    boolean allNotRun = attempts.stream().allMatch(v -> v instanceof NotRun);
    boolean anyRan = attempts.stream().anyMatch(v -> v instanceof Ran);
    assertThat(combined instanceof NotRun).isEqualTo(allNotRun);
    assertThat(combined instanceof Ran).isEqualTo(anyRan);
  }

  @Provide
  Arbitrary<List<Verdict>> attempts() {
    return Arbitraries.<Verdict>of(
            new NotRun("queue-full", "m", 5), new MayHaveRun("lost", "m"), new Ran())
        .list()
        .ofMinSize(1)
        .ofMaxSize(6);
  }
}
