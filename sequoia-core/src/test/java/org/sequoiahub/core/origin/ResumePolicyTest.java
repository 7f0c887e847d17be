package org.sequoiahub.core.origin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.upstream.SoftwareVersion;

/** Guards against streams that go on at runners of another software version. */
class ResumePolicyTest {

  private static StorePosition at(long revision) {
    return new StorePosition(1, revision);
  }

  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long STREAM_LIFE_MILLIS = ResumePolicy.STREAM_LIFE_TIMEOUTS * TIMEOUT_MILLIS;
  private static final long MAX_WAIT_MILLIS = 2_000;
  private static final SoftwareVersion V1 = SoftwareVersion.of("v1");
  private static final SoftwareVersion V2 = SoftwareVersion.of("v1.1");

  private long now = 1_000_000;
  private long knownMillis = now;
  private long revision;
  private boolean requested;
  private final ServiceVersions versions = ServiceVersions.ofJoinedHost();
  private final RunnerRegistry registry = new RunnerRegistry(id -> false, versions);
  private final ResumePolicy policy =
      new ResumePolicy(
          versions,
          new RunnerKnowledge() {
            @Override
            public long knownMillis() {
              return knownMillis;
            }

            @Override
            public void request(long nowMillis) {
              requested = true;
            }
          },
          MAX_WAIT_MILLIS);

  private static RunnerEntry runner(String id, SoftwareVersion version) {
    return new RunnerEntry(
        RunnerIncarnation.of(id),
        0,
        "llm",
        version,
        "10.0.0.1:80",
        "z",
        8,
        false,
        -1,
        0,
        Set.of(),
        Map.of());
  }

  @BeforeEach
  void readRunners() {
    registry.applySnapshot(List.of(), Set.of(), at(++revision), now);
  }

  private void add(String id, SoftwareVersion version) {
    registry.apply(new RunnerRegistry.Change(id, at(++revision), runner(id, version)), now);
  }

  private void remove(String id) {
    registry.apply(new RunnerRegistry.Change(id, at(++revision), null), now);
  }

  private void advance(long millis) {
    now += millis;
    knownMillis = now;
  }

  private ResumeDecision decide(Optional<StreamOrigin> origin) {
    return decideOnArrivalAt(origin, now);
  }

  private ResumeDecision decideOnArrivalAt(Optional<StreamOrigin> origin, long arrivedMillis) {
    return policy.decide(origin, "llm", registry.present(), TIMEOUT_MILLIS, arrivedMillis, now);
  }

  private ResumeDecision decideUnknown() {
    return decide(Optional.empty());
  }

  @Nested
  class KnownOrigin {

    @Test
    void admitsItsVersionAlsoIfNoRunnerHasIt() {
      add("i-1", V2);
      assertThat(decide(Optional.of(new StreamOrigin("llm", V1))))
          .isEqualTo(new ResumeDecision.OnlyAt(V1));
    }

    @Test
    void ofAnotherServiceIsRefused() {
      add("i-1", V1);
      assertThat(decide(Optional.of(new StreamOrigin("other", V1))))
          .isInstanceOf(ResumeDecision.Nowhere.class);
    }
  }

  @Nested
  class UnknownOrigin {

    @Test
    void goesOnOnlyAfterOneVersionForTheLifeOfStreams() {
      add("i-1", V1);
      advance(STREAM_LIFE_MILLIS - 1);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
      advance(1);
      assertThat(decideUnknown()).isEqualTo(new ResumeDecision.OnlyAt(V1));
    }

    @Test
    void isRefusedWhileTwoVersionsServe() {
      add("i-1", V1);
      advance(STREAM_LIFE_MILLIS);
      add("i-2", V2);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
    }

    @Test
    void isRefusedForTheLifeOfStreamsAfterTheLastRunnerOfOneVersion() {
      add("i-1", V1);
      add("i-2", V2);
      advance(STREAM_LIFE_MILLIS);
      remove("i-2");
      advance(STREAM_LIFE_MILLIS - 1);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
      advance(1);
      assertThat(decideUnknown()).isEqualTo(new ResumeDecision.OnlyAt(V1));
    }

    @Test
    void isRefusedAfterAnIdCameBackWithAnotherVersion() {
      add("i-1", V1);
      advance(STREAM_LIFE_MILLIS);
      add("i-1", V2);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
      advance(STREAM_LIFE_MILLIS);
      assertThat(decideUnknown()).isEqualTo(new ResumeDecision.OnlyAt(V2));
    }

    @Test
    void isRefusedAfterRunnerCameAndWentUnseen() {
      add("i-1", V1);
      advance(STREAM_LIFE_MILLIS);
      remove("i-never-seen");
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
    }

    @Test
    void isRefusedAfterTheHistoryOfTheStoreWasLost() {
      add("i-1", V1);
      registry.markCompleteTo(at(revision), now);
      advance(STREAM_LIFE_MILLIS);
      registry.applySnapshot(
          List.of(new RunnerRegistry.Change("i-1", at(revision), runner("i-1", V1))),
          Set.of(),
          at(revision),
          now);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
    }

    /** Guards against a host out of step that goes on at the only version it has seen. */
    @Test
    void waitsUntilTheRunnersAreKnownAsOfItsArrival() {
      add("i-1", V1);
      advance(STREAM_LIFE_MILLIS);
      long arrived = now + 1;
      now += MAX_WAIT_MILLIS;
      assertThat(decideOnArrivalAt(Optional.empty(), arrived))
          .isEqualTo(new ResumeDecision.NotYet());
      assertThat(requested).isTrue();
      now++;
      assertThat(decideOnArrivalAt(Optional.empty(), arrived))
          .isInstanceOf(ResumeDecision.Nowhere.class);
      knownMillis = arrived;
      assertThat(decideOnArrivalAt(Optional.empty(), arrived))
          .isEqualTo(new ResumeDecision.OnlyAt(V1));
    }

    /** Guards against streams that last longer than it was known that they go on at one version. */
    @Test
    void isRefusedForAsLongAsStreamsOfThreeRetriesLast() {
      add("i-1", V1);
      add("i-2", V2);
      advance(STREAM_LIFE_MILLIS);
      remove("i-1");
      advance(4 * TIMEOUT_MILLIS - 1);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
    }

    /** Guards against runners that left between the start of a host and its first reading. */
    @Test
    void isRefusedForTheLifeOfStreamsAfterTheFirstReading() {
      ServiceVersions joined = ServiceVersions.ofJoinedHost();
      RunnerRegistry late = new RunnerRegistry(id -> false, joined);
      advance(STREAM_LIFE_MILLIS);
      late.applySnapshot(
          List.of(new RunnerRegistry.Change("i-1", at(9), runner("i-1", V1))),
          Set.of(),
          at(9),
          now);
      assertThat(joined.soleVersion("llm", late.present(), STREAM_LIFE_MILLIS, now)).isEmpty();
      now += STREAM_LIFE_MILLIS;
      assertThat(joined.soleVersion("llm", late.present(), STREAM_LIFE_MILLIS, now)).hasValue(V1);
    }

    @Test
    void isRefusedWithoutAnyRunner() {
      advance(STREAM_LIFE_MILLIS);
      assertThat(decideUnknown()).isInstanceOf(ResumeDecision.Nowhere.class);
    }
  }

  @Nested
  class Origins {
    private final StreamOrigins origins = new StreamOrigins(2, 100);
    private final StreamOrigin first = new StreamOrigin("llm", V1);

    @Test
    void ofDifferentWorkspacesDoNotMeet() {
      origins.record(StreamKey.of("a", "q"), first, now);
      assertThat(origins.find(StreamKey.of("b", "q"), now)).isEmpty();
      assertThat(StreamKey.of("a", "bq")).isNotEqualTo(StreamKey.of("ab", "q"));
    }

    @Test
    void thatContradictAreNone() {
      StreamKey key = StreamKey.of("", "q");
      origins.record(key, first, now);
      origins.record(key, new StreamOrigin("llm", V2), now);
      origins.record(key, first, now);
      assertThat(origins.find(key, now)).isEmpty();
      assertThat(origins.isKnown(key, now)).isTrue();
    }

    @Test
    void areForgottenByAgeAndNumber() {
      for (int number = 0; number < 3; number++) {
        origins.record(StreamKey.of("", "q" + number), first, now + number);
      }
      assertThat(origins.size()).isEqualTo(2);
      assertThat(origins.find(StreamKey.of("", "q0"), now + 3)).isEmpty();
      assertThat(origins.find(StreamKey.of("", "q1"), now + 3)).hasValue(first);
      assertThat(origins.find(StreamKey.of("", "q1"), now + 101)).isEmpty();
    }
  }

  @Test
  void versionsMustHaveNamesOfLimitedLength() {
    assertThrows(IllegalArgumentException.class, () -> SoftwareVersion.of(""));
    assertThrows(IllegalArgumentException.class, () -> SoftwareVersion.of("v".repeat(129)));
  }
}
