package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.junit.jupiter.api.Test;

class RequestFingerprintTest {

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  @Test
  void generationsDifferByModelAndPrompt() {
    long expected = RequestFingerprint.ofGeneration("m/a1", bytes("prompt")).value();
    assertThat(RequestFingerprint.ofGeneration("m/a1", bytes("prompt")).value())
        .isEqualTo(expected);
    assertThat(RequestFingerprint.ofGeneration("m/a2", bytes("prompt")).value())
        .isNotEqualTo(expected);
    assertThat(RequestFingerprint.ofGeneration("m/a1", bytes("prompt ")).value())
        .isNotEqualTo(expected);
  }

  @Test
  void plainRequestsDifferByEachPart() {
    long expected = RequestFingerprint.ofPlain("GET", "h", "/a?b=1", bytes("")).value();
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a?b=1", bytes("")).value())
        .isEqualTo(expected);
    assertThat(RequestFingerprint.ofPlain("PUT", "h", "/a?b=1", bytes("")).value())
        .isNotEqualTo(expected);
    assertThat(RequestFingerprint.ofPlain("GET", "i", "/a?b=1", bytes("")).value())
        .isNotEqualTo(expected);
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a?b=2", bytes("")).value())
        .isNotEqualTo(expected);
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a?b=1", bytes("x")).value())
        .isNotEqualTo(expected);
  }

  @Test
  void movingBytesBetweenPartsChangesTheFingerprint() {
    assertThat(RequestFingerprint.ofPlain("GET", "ha", "/b", bytes("")).value())
        .isNotEqualTo(RequestFingerprint.ofPlain("GET", "h", "a/b", bytes("")).value());
    assertThat(RequestFingerprint.ofGeneration("m", bytes("ab")).value())
        .isNotEqualTo(RequestFingerprint.ofGeneration("ma", bytes("b")).value());
  }

  /** Hosts look up the checksum first, so it must equal the upper half of the whole fingerprint. */
  @Test
  void checksumIsUpperHalfOfTheValue() {
    byte[] body = bytes("prompt");
    assertThat(RequestFingerprint.ofGeneration("m/a1", body).checksum())
        .isEqualTo(
            RequestFingerprint.checksumOf(RequestFingerprint.ofGeneration("m/a1", body).value()));
    assertThat(RequestFingerprint.ofPlain("GET", "h", "/a", body).checksum())
        .isEqualTo(
            RequestFingerprint.checksumOf(
                RequestFingerprint.ofPlain("GET", "h", "/a", body).value()));
  }
}
