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
    public void aSignalWritesTheRecording() throws Exception {
        Path recording = Files.createTempDirectory("record").resolve("log");
        try (StandIn reader = new StandIn(Site.forAttempts(
                        (request, connection) -> connection.respond(202, "{\"cached_tokens\":4096}")));
                StandIn writer = new StandIn(Site::answerAsWriter);
                StandIn discovery = Conductor.discovery(reader, writer);
                Conductor conductor = new Conductor(discovery, 1024, 192, List.of("--record", recording.toString()))) {
            conductor.awaitHealthy();
            try (RawConnection client = new RawConnection(conductor.address)) {
                client.send(request("told", "ask", "5000m", "prompt_len=40,max_out=9", "{}"));
                assertEquals(client.read().status(), 200);
            }
            conductor.signal("USR2");
            await("written", () -> Files.exists(recording));
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            assertTrue(new Explain(Recording.read(recording), new PrintStream(out, true)).printRequest("told"));
            String explanation = out.toString();
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
                assertTrue(explanation.contains(step), step + " is missing in\n" + explanation);
            }
            Files.delete(recording);
            conductor.signal("TERM");
            await("written at the stop", () -> Files.exists(recording));
        }
    }

    /** If recording is off it costs nothing at the start: its classes are not loaded. */
    @Test
    public void itsClassesAreNotLoadedWhenOff() throws Exception {
        Path classLog = Files.createTempDirectory("classes").resolve("log");
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn writer = new StandIn(Site::answerAsWriter);
                StandIn discovery = Conductor.discovery(reader, writer);
                Conductor conductor =
                        new Conductor(discovery, 1024, 192, List.of("-Xlog:class+load:file=" + classLog))) {
            conductor.awaitHealthy();
            try (RawConnection client = new RawConnection(conductor.address)) {
                assertEquals(client.send(request("ask", 5000)).read().status(), 200);
            }
            String loaded = Files.readString(classLog);
            assertTrue(loaded.contains("copperbeam.routing.Recorder "));
            assertFalse(loaded.contains("copperbeam.record.") || loaded.contains("com.google.protobuf"));
        }
    }
}
