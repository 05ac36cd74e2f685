package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The program under the descriptors that its configuration states. */
public class LimitsTest {
    /** Guards against an end of listening for good where a connection could not be accepted. */
    @Test
    public void aStormOfConnectionsIsOutlived() throws Exception {
        try (StandIn reader = new StandIn(Site::read); StandIn writer = new StandIn(Site::write);
                StandIn discovery = Conductor.discovery(reader, writer);
                Conductor conductor = new Conductor(discovery, 256, 64)) {
            conductor.awaitHealthy();
            List<Line> storm = new ArrayList<>();
            for (int i = 0; i < 600; i++) {
                try {
                    storm.add(new Line(conductor.address));
                } catch (java.io.IOException e) {
                    // refused for the moment
                }
            }
            await("healthy again", conductor::healthy);
            for (int i = 0; i < 5; i++) {
                try (Line client = new Line(conductor.address)) {
                    assertEquals(client.send(request("send", 5000)).read().status(), 200);
                }
            }
            for (Line line : storm) {
                line.close();
            }
            assertTrue(conductor.process.isAlive());
        }
    }
}
