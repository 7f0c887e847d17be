package org.sequoiahub.runtime.port;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FreePortsTest {

  private static final long SEED = 7;
  private static final int COUNT = 20;

  @Nested
  class OutgoingConnections {

    /**
     * Symptom: a host in a test fails to bind its port, once in many runs.
     *
     * <p>Events: the port is found by asking the system for any free one and let go again; before
     * the host binds it, an outgoing connection of another host on the same address is opened.
     *
     * <p>Cause: the system serves listeners that ask for any port and outgoing connections from the
     * same range.
     *
     * <p>Evidence: "Failed to bind" for a port of that range while hosts with many outgoing
     * connections started and ended. The connections here take ports as those did: none may be
     * given to one of them.
     */
    @Test
    void takeNoPortThatWasFound() throws Exception {
      List<Integer> found = FreePorts.find(COUNT, new Random(SEED));
      List<ServerSocket> taken = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        taken.add(socket);
        assertThat(found).doesNotContain(socket.getLocalPort());
        assertThat(socket.getLocalPort()).isGreaterThan(found.stream().max(Integer::compare).get());
      }
      for (ServerSocket socket : taken) {
        socket.close();
      }
    }
  }

  @Nested
  class Found {

    @Test
    void portsDiffer() throws Exception {
      List<Integer> found = FreePorts.find(COUNT, new Random(SEED));
      assertThat(new HashSet<>(found)).hasSize(COUNT);
    }

    @Test
    void portThatIsListenedOnIsPassedOver() throws Exception {
      int first = FreePorts.find(1, new Random(SEED)).get(0);
      try (ServerSocket listener = new ServerSocket(first)) {
        assertThat(listener.isBound()).isTrue();
        assertThat(FreePorts.find(1, new Random(SEED))).doesNotContain(first);
      }
    }
  }
}
