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
     * Guards against a host in a test that occasionally fails with "Failed to bind": its port was
     * selected by the system and released again, and before the host bound it, an outgoing
     * connection of another host on the same address took it. The system serves listeners on any
     * port and outgoing connections from the same range; the sockets here take ports from that
     * range, and none may get a port that was found.
     */
    @Test
    void neverTakeFoundPort() throws Exception {
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
    void portsAreDistinct() throws Exception {
      List<Integer> found = FreePorts.find(COUNT, new Random(SEED));
      assertThat(new HashSet<>(found)).hasSize(COUNT);
    }

    @Test
    void excludePortInUse() throws Exception {
      int first = FreePorts.find(1, new Random(SEED)).get(0);
      try (ServerSocket listener = new ServerSocket(first)) {
        assertThat(listener.isBound()).isTrue();
        assertThat(FreePorts.find(1, new Random(SEED))).doesNotContain(first);
      }
    }
  }
}
