package org.sequoiahub.core.upstream;

/** Notified of the runners that this host sees. */
public interface RunnerSightings {

  /** Ignores what is seen. */
  RunnerSightings IGNORED =
      new RunnerSightings() {
        @Override
        public void seen(RunnerEntry runner, long nowMillis) {}

        @Override
        public void mayHaveMissed(long nowMillis) {}

        @Override
        public void allRead(long nowMillis) {}
      };

  /** Called when a runner's entry was read, and when it is replaced or has vanished. */
  void seen(RunnerEntry runner, long nowMillis);

  /** Called when all runners were read; those that left before the first reading are unseen. */
  void allRead(long nowMillis);

  /** Called when runners may have come and gone unseen. */
  void mayHaveMissed(long nowMillis);
}
