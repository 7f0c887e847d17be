package org.sequoiahub.node.origin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.origin.StreamKey;
import org.sequoiahub.core.origin.StreamOrigin;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.schema.peer.PeerDatagram;

/** Guards against streams whose origin is found wrong, or not found after hosts have died. */
class StreamOriginExchangeTest {

  private static final double LOSS = 0.05;
  private static final long MAX_DELAY_MILLIS = 4;
  private static final long TICK_MILLIS = 5;
  private static final int DOMAINS = 4;

  /** Hosts in virtual time whose datagrams are late or lost. */
  private static final class Fleet {
    final Random random;
    final List<Host> hosts = new ArrayList<>();
    final PriorityQueue<InFlight> network =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    long now = 1_000;
    long datagrams;
    long bytes;

    record InFlight(long atMillis, int from, int to, PeerDatagram datagram) {}

    final class Host {
      final int number;
      boolean up = true;
      long thawMillis;
      StreamOriginExchange exchange;

      Host(int number) {
        this.number = number;
        this.exchange = newExchange();
      }

      final StreamOriginExchange newExchange() {
        return new StreamOriginExchange(
            new OriginKeepers(nowMillis -> others(number)),
            PeerDatagram::newBuilder,
            (ip, sent) -> send(number, Integer.parseInt(ip), sent));
      }

      boolean runs() {
        return up && now >= thawMillis;
      }

      void restart() {
        exchange = newExchange();
      }
    }

    Fleet(int size, long seed) {
      random = new Random(seed);
      for (int number = 0; number < size; number++) {
        hosts.add(new Host(number));
      }
    }

    private List<OriginKeepers.Host> others(int number) {
      return hosts.stream()
          .filter(host -> host.number != number && host.up)
          .map(
              host ->
                  new OriginKeepers.Host(
                      "host-" + host.number,
                      Integer.toString(host.number),
                      "z" + host.number % DOMAINS))
          .toList();
    }

    private void send(int from, int to, byte[] sent) {
      datagrams++;
      bytes += sent.length;
      if (random.nextDouble() >= LOSS) {
        long delay = 1 + random.nextInt((int) MAX_DELAY_MILLIS);
        try {
          network.add(new InFlight(now + delay, from, to, PeerDatagram.parseFrom(sent)));
        } catch (InvalidProtocolBufferException e) {
          throw new AssertionError(e);
        }
      }
    }

    void advance(long millis) {
      for (long end = now + millis; now < end; now++) {
        while (!network.isEmpty() && network.peek().atMillis <= now) {
          deliver(network.poll());
        }
        if (now % TICK_MILLIS == 0) {
          hosts.stream().filter(Host::runs).forEach(host -> host.exchange.tick(now));
        }
      }
    }

    private void deliver(InFlight each) {
      Host host = hosts.get(each.to);
      if (!host.up) {
        return;
      }
      if (!host.runs()) {
        network.add(new InFlight(host.thawMillis, each.from, each.to, each.datagram));
        return;
      }
      String from = Integer.toString(each.from);
      host.exchange.received(from, each.datagram, now);
    }

    /** Returns what a host finds, and checks that it finds it within the time of a search. */
    Optional<StreamOrigin> find(int host, StreamKey key) {
      List<Optional<StreamOrigin>> found = new ArrayList<>();
      hosts.get(host).exchange.find(key, now, found::add);
      for (int waited = 0; found.isEmpty() && waited < 200; waited += 5) {
        advance(5);
      }
      assertWithMessage("answers").that(found).hasSize(1);
      return found.get(0);
    }
  }

  private static StreamOrigin origin(int number) {
    return new StreamOrigin("llm", SoftwareVersion.of("v1." + number % 3));
  }

  private static StreamKey key(int number) {
    return StreamKey.of("w", "request-" + number);
  }

  /** Plays streams that begin, hosts that die, restart and freeze, and callers that take up. */
  private static void play(int size, int streams, long seed) {
    Fleet fleet = new Fleet(size, seed);
    Map<Integer, Integer> begunAt = new HashMap<>();
    int found = 0;
    int asked = 0;
    for (int number = 0; number < streams; number++) {
      int host = fleet.random.nextInt(size);
      fleet.hosts.get(host).exchange.record(key(number), origin(number), fleet.now);
      begunAt.put(number, host);
      fleet.advance(fleet.random.nextInt(20));
      switch (fleet.random.nextInt(10)) {
        case 0 -> fleet.hosts.get(host).restart();
        case 1 -> fleet.hosts.get(fleet.random.nextInt(size)).restart();
        case 2 -> fleet.hosts.get(fleet.random.nextInt(size)).thawMillis = fleet.now + 300;
        default -> {}
      }
      int other = fleet.random.nextInt(size);
      if (!fleet.hosts.get(other).runs()) {
        continue;
      }
      Optional<StreamOrigin> answer = fleet.find(other, key(number));
      asked++;
      found += answer.isPresent() ? 1 : 0;
      assertThat(answer.orElse(origin(number))).isEqualTo(origin(number));
      assertThat(fleet.find(other, key(-1 - number))).isEmpty();
    }
    assertWithMessage("found of %s", asked).that(found).isAtLeast(asked * 9 / 10);
  }

  @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void originsAreFoundAndNeverWrongInSmallFleets(@ForAll long seed) {
    play(4 + (int) Math.floorMod(seed, 6L), 60, seed);
  }

  @ParameterizedTest
  @ValueSource(ints = {77, 300})
  void originsAreFoundAndNeverWrongInLargeFleets(int size) {
    play(size, 300, size);
  }

  @Test
  void onlyHostKnowsItsOwnStreams() {
    Fleet fleet = new Fleet(1, 1);
    fleet.hosts.get(0).exchange.record(key(1), origin(1), fleet.now);
    assertThat(fleet.find(0, key(1))).hasValue(origin(1));
    assertThat(fleet.find(0, key(2))).isEmpty();
  }

  @Test
  void streamsOfTwoOriginsHaveNone() {
    Fleet fleet = new Fleet(5, 1);
    fleet.hosts.get(0).exchange.record(key(1), origin(1), fleet.now);
    fleet.advance(100);
    fleet.hosts.get(1).exchange.record(key(1), origin(2), fleet.now);
    fleet.advance(100);
    for (int host = 2; host < 5; host++) {
      assertThat(fleet.find(host, key(1))).isEmpty();
    }
  }

  /** A stream costs the keepers' copies and their acknowledgements, whatever the fleet's size. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77, 300})
  void costOfOneStreamIsIndependentOfTheFleet(int size) {
    Fleet fleet = new Fleet(size, size);
    for (int number = 0; number < 200; number++) {
      fleet.hosts.get(number % size).exchange.record(key(number), origin(number), fleet.now);
      fleet.advance(2);
    }
    fleet.advance(2_000);
    assertWithMessage("datagrams").that(fleet.datagrams / 200.0).isAtMost(8);
    assertWithMessage("bytes").that(fleet.bytes / 200.0).isAtMost(400);
    System.out.printf(
        "size %d: %.1f datagrams, %.0f bytes a stream%n",
        size, fleet.datagrams / 200.0, fleet.bytes / 200.0);
  }
}
