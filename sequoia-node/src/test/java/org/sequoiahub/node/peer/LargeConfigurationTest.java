package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.origin.ServiceVersions;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.StorePull;
import org.sequoiahub.schema.peer.StoreRecords;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;

/** Sends a configuration of many routes from host to host. */
class LargeConfigurationTest {

  private static final int ROUTES = 1_900;
  private static final int PREFIX_LETTERS = 8;
  private static final StorePosition POSITION = new StorePosition(1, 20);

  /** The link of the slowest hosts of the users' deployments. */
  private static final long LINK_BITS_PER_MILLI = 10_000;

  /** Hosts that a delegate serves if the two delegates of a group of 32 share them. */
  private static final int SERVED_HOSTS = 15;

  /** Half of the propagation bound (ms); the rest is for the way by which a host learns of it. */
  private static final long MAX_TRANSFER_MILLIS = RecordSimulation.BOUND_MILLIS / 2;

  private final RecordDecoder decoder =
      new RecordDecoder(KeyHasher.withRandomSecret(new SecureRandom()));
  private final StoreRegistry store =
      new StoreRegistry(
          decoder,
          new RunnerRegistry(id -> false, ServiceVersions.ofNewFleet()),
          table -> {},
          () -> {},
          new EventLog("test", "host-1"));

  private static byte[] configuration() {
    Random random = new Random(1);
    List<String> routes = new ArrayList<>();
    for (int route = 0; route < ROUTES; route++) {
      StringBuilder prefix = new StringBuilder("/");
      for (int letter = 0; letter < PREFIX_LETTERS; letter++) {
        prefix.append((char) ('a' + random.nextInt(26)));
      }
      routes.add(StandinConfiguration.route(prefix.append('/').toString(), "safe", "plain", false));
    }
    return StandinConfiguration.configuration(7, routes).getBytes(UTF_8);
  }

  /** Guards against a configuration that hosts with slow links cannot pass on within the bound. */
  @Test
  void isPassedOnOverSlowLinksWithinHalfOfTheBound() throws Exception {
    byte[] configuration = configuration();
    store.applyFromPeer(new StoredItem(StoreKeys.CONFIGURATION, POSITION, configuration), 1_000);
    StoreRecords answer =
        RecordExchange.answerPull(
            StorePull.newBuilder().setAcceptsDeflated(true).build(),
            store,
            new DeflatedValues(),
            1_000);
    long bits = 8L * SERVED_HOSTS * answer.getSerializedSize();
    assertWithMessage("time to send %s bytes to %s hosts", answer.getSerializedSize(), SERVED_HOSTS)
        .that(bits / LINK_BITS_PER_MILLI)
        .isLessThan(MAX_TRANSFER_MILLIS);
    PulledRecords pulled = PulledRecords.decode("10.0.0.1", answer);
    assertThat(pulled.items()).hasSize(1);
    assertThat(pulled.items().get(0).value()).isEqualTo(configuration);
  }
}
