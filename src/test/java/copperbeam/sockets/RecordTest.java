package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.record.Explain;
import copperbeam.record.Recording;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** The recorder, in a program that runs in a process of its own. */
public class RecordTest {
    @Test
    public void aSignalWritesWhatHappened() throws Exception {
        Path log = Files.createTempDirectory("record").resolve("log");
        try (StandIn reader = new StandIn(Site.attempts((m, line) -> line.answer(202, "{\"cached_tokens\":4096}")));
                StandIn writer = new StandIn(Site::write);
                StandIn list = Conductor.discovery(reader, writer);
                Conductor conductor = new Conductor(list, 1024, 192, List.of("--record", log.toString()))) {
            conductor.awaitHealthy();
            try (Line client = new Line(conductor.address)) {
                client.send(request("told", "ask", "5000m", "prompt_len=40,max_out=9", "{}"));
                assertEquals(client.read().status(), 200);
            }
            conductor.signal("USR2");
            await("written", () -> Files.exists(log));
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            assertTrue(new Explain(Recording.read(log), new PrintStream(out, true)).request("told"));
            String life = out.toString();
            for (String step : List.of(
                    "arrived",
                    "attempt 0 s" + reader.address().getPort() + " HOME",
                    "connection attempt 0",
                    "READ",
                    "kept 4096",
                    "attempt 1 s" + writer.address().getPort() + " WRITER",
                    "STREAM",
                    "first",
                    "OK",
                    "served")) {
                assertTrue(life.contains(step), step + " is missing in\n" + life);
            }
            Files.delete(log);
            conductor.signal("TERM");
            await("written at the stop", () -> Files.exists(log));
        }
    }

    /** If recording is off it costs nothing at the start: its classes are not loaded. */
    @Test
    public void withoutItsClassesStayOut() throws Exception {
        Path classes = Files.createTempDirectory("classes").resolve("log");
        try (StandIn reader = new StandIn(Site::read);
                StandIn writer = new StandIn(Site::write);
                StandIn list = Conductor.discovery(reader, writer);
                Conductor conductor = new Conductor(list, 1024, 192, List.of("-Xlog:class+load:file=" + classes))) {
            conductor.awaitHealthy();
            try (Line client = new Line(conductor.address)) {
                assertEquals(client.send(request("ask", 5000)).read().status(), 200);
            }
            String loaded = Files.readString(classes);
            assertTrue(loaded.contains("copperbeam.routing.Recorder "));
            assertFalse(loaded.contains("copperbeam.record.") || loaded.contains("com.google.protobuf"));
        }
    }
}
