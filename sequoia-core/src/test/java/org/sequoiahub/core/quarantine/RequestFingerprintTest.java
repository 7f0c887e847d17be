package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.junit.jupiter.api.Test;

class RequestFingerprintTest {

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  @Test
  void generationsAreToldApartByModelAndPrompt() {
    long one = RequestFingerprint.ofGeneration("m/a1", bytes("prompt"));
    assertThat(RequestFingerprint.ofGeneration("m/a1", bytes("prompt"))).isEqualTo(one);
    assertThat(RequestFingerprint.ofGeneration("m/a2", bytes("prompt"))).isNotEqualTo(one);
    assertThat(RequestFingerprint.ofGeneration("m/a1", bytes("prompt "))).isNotEqualTo(one);
  }

  @Test
  void plainRequestsAreToldApartByEachPart() {
    long one = RequestFingerprint.ofPlain("GET", "h", "/a?b=1", bytes(""));
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a?b=1", bytes(""))).isEqualTo(one);
    assertThat(RequestFingerprint.ofPlain("PUT", "h", "/a?b=1", bytes(""))).isNotEqualTo(one);
    assertThat(RequestFingerprint.ofPlain("GET", "i", "/a?b=1", bytes(""))).isNotEqualTo(one);
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a?b=2", bytes(""))).isNotEqualTo(one);
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a?b=1", bytes("x"))).isNotEqualTo(one);
  }

  @Test
  void bytesThatMoveFromOnePartToTheNextMakeAnother() {
    assertThat(RequestFingerprint.ofPlain("GET", "ha", "/b", bytes("")))
        .isNotEqualTo(RequestFingerprint.ofPlain("GET", "h", "a/b", bytes("")));
    assertThat(RequestFingerprint.ofGeneration("m", bytes("ab")))
        .isNotEqualTo(RequestFingerprint.ofGeneration("ma", bytes("b")));
  }

  /** Hosts ask by the cheap half first, so it must be the same that the whole one holds. */
  @Test
  void cheapHalfIsPartOfTheWhole() {
    byte[] body = bytes("prompt");
    assertThat(RequestFingerprint.screenGeneration("m/a1", body))
        .isEqualTo(RequestFingerprint.screen(RequestFingerprint.ofGeneration("m/a1", body)));
    assertThat(RequestFingerprint.screenPlain("GET", "h", "/a", body))
        .isEqualTo(RequestFingerprint.screen(RequestFingerprint.ofPlain("GET", "h", "/a", body)));
  }
}
