package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class RecentSuccessesTest {

  private static final int BODY_BYTES = 1 << 20;

  private final RecentSuccesses successes = new RecentSuccesses();

  private static RequestFingerprint request(int number, int bodyBytes) {
    return RequestFingerprint.ofGeneration("model-" + number, new byte[bodyBytes]);
  }

  private boolean isRemembered(int number, int bodyBytes) {
    return successes.find(request(number, bodyBytes).value()).isPresent();
  }

  @Test
  void lastSuccessIsRemembered() {
    successes.add(request(1, 10), 100);
    successes.add(request(1, 10), 200);
    successes.add(request(1, 10), 150);
    assertThat(successes.find(request(1, 10).value())).isEqualTo(Optional.of(200L));
    assertThat(isRemembered(2, 10)).isFalse();
  }

  @Test
  void successExpires() {
    successes.add(request(1, 10), 100);
    successes.add(request(2, 10), 99 + RecentSuccesses.RETENTION_MILLIS);
    assertThat(isRemembered(1, 10)).isTrue();
    successes.add(request(2, 10), 100 + RecentSuccesses.RETENTION_MILLIS);
    assertThat(isRemembered(1, 10)).isFalse();
    assertThat(isRemembered(2, 10)).isTrue();
  }

  @Test
  void numberIsBounded() {
    for (int i = 0; i <= RecentSuccesses.MAX_SUCCESSES; i++) {
      successes.add(request(i, 0), 100);
    }
    assertThat(isRemembered(0, 0)).isFalse();
    assertThat(isRemembered(1, 0)).isTrue();
  }

  @Test
  void sizeOfRetainedBodiesIsBounded() {
    int max = (int) (RecentSuccesses.MAX_RETAINED_BYTES / BODY_BYTES);
    for (int repetition = 0; repetition < 3; repetition++) {
      for (int i = 0; i < max; i++) {
        successes.add(request(i, BODY_BYTES), 100);
      }
    }
    assertThat(isRemembered(0, BODY_BYTES)).isTrue();
    successes.add(request(max, BODY_BYTES), 100);
    assertThat(isRemembered(0, BODY_BYTES)).isFalse();
    assertThat(isRemembered(max, BODY_BYTES)).isTrue();
  }
}
