package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What the soak's proxies tell of the conductor's bytes. */
public class ProxiedConnectionTest {
    private static final int CONNECT_MS = 100;
    private static final int WAIT_MS = 5000;
    private static final long MAX_ERROR_NS = 400_000_000; // of the time of sending; the server's connect takes a second

    /** Bytes that waited for a late proxy counted as sent when it read them, and what they told of a deadline as too much. */
    @Test
    public void bytesThatWaitForTheProxyAreNotTakenForSentLate() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FaultProxy proxy = new FaultProxy("n0", (InetSocketAddress) server.getLocalSocketAddress());
                Socket conductorSide = new Socket()) {
            List<Socket> queued = fillQueue(server); // the proxy's own connect is repeated after a second
            conductorSide.connect(proxy.address(), WAIT_MS);
            conductorSide.getOutputStream().write('x');
            long sentNs = System.nanoTime();
            Thread.sleep(CONNECT_MS);
            for (Socket socket : queued) {
                server.accept().close();
                socket.close();
            }
            server.setSoTimeout(WAIT_MS);
            try (Socket serverSide = server.accept()) {
                assertEquals(serverSide.getInputStream().read(), 'x');
                ProxiedConnection connection = ProxiedConnection.from(serverSide.getRemoteSocketAddress());
                assertTrue(connection.readSince() - sentNs > MAX_ERROR_NS, "the proxy began to read late");
                assertTrue(connection.sentAt() - sentNs < MAX_ERROR_NS, "sent late: " + connection.sentAt());
            }
        }
    }

    /** Bytes for which the proxy waits count as sent when it reads them, also on a connection that is in use for long. */
    @Test
    public void bytesForWhichTheProxyWaitsAreSentWhenTheyAreRead() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FaultProxy proxy = new FaultProxy("n0", (InetSocketAddress) server.getLocalSocketAddress());
                Socket conductorSide = new Socket()) {
            conductorSide.connect(proxy.address(), WAIT_MS);
            server.setSoTimeout(WAIT_MS);
            try (Socket serverSide = server.accept()) {
                for (int sends = 0; sends < 3; sends++) {
                    Thread.sleep(CONNECT_MS);
                    long sentNs = System.nanoTime();
                    conductorSide.getOutputStream().write('x');
                    assertEquals(serverSide.getInputStream().read(), 'x');
                    ProxiedConnection connection = ProxiedConnection.from(serverSide.getRemoteSocketAddress());
                    assertTrue(connection.sentAt() >= sentNs, "sent before it was");
                }
            }
        }
    }

    /** Fills the queue of connections, so that the kernel drops further attempts. */
    private static List<Socket> fillQueue(ServerSocket server) throws Exception {
        List<Socket> queued = new ArrayList<>();
        while (true) {
            Socket socket = new Socket();
            try {
                socket.connect(server.getLocalSocketAddress(), CONNECT_MS);
                queued.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return queued;
            }
        }
    }
}
